package operations

import (
	"context"
	"errors"
	"strings"

	"connectrpc.com/connect"

	"vanillapond/internal/process/billing"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

// errOtherPartner is returned to an operator that asks for the account of another partner.
var errOtherPartner = errors.New("want the credential of the partner itself, or the root credential")

func (o *Operations) billingReader() *billing.Reader {
	return billing.NewReader(billing.ReaderConfig{Table: o.config.Table})
}

// usage returns a customer's billing windows; a partner's operator gets only those of its own partner.
func (o *Operations) usage(ctx context.Context, p principal, request *operator.UsageRequest) (*operator.UsageResponse, error) {
	windows, err := o.billingReader().Usage(ctx, func(partner ident.Partner, customer ident.Customer) bool {
		return customer == request.Customer && (p.partner == "" || p.partner == partner)
	})
	if err != nil {
		return nil, connect.NewError(connectCode(err), err)
	}
	return &operator.UsageResponse{Windows: windows}, nil
}

// account returns a partner's final statement.
//
// It returns an error while the partner still has a customer in the configuration or an open billing window.
func (o *Operations) account(
	ctx context.Context, p principal, request *operator.AccountRequest,
) (*operator.AccountResponse, error) {
	if p.partner != "" && p.partner != request.Partner {
		return nil, connect.NewError(connect.CodePermissionDenied, errOtherPartner)
	}
	if err := o.config.Replica.Refresh(ctx); err != nil {
		return nil, connect.NewError(connectCode(err), err)
	}
	var pending []string
	for _, customer := range o.config.Replica.Current().Customers {
		if customer.Partner == request.Partner {
			pending = append(pending, "customer "+string(customer.ID)+" is still in the configuration")
		}
	}
	account, openWindows, err := o.billingReader().Account(ctx, request.Partner)
	if err != nil {
		return nil, connect.NewError(connectCode(err), err)
	}
	if pending = append(pending, openWindows...); len(pending) > 0 {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("not final: "+strings.Join(pending, "; ")))
	}
	digest, err := account.Digest()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &operator.AccountResponse{Account: account, Digest: digest}, nil
}
