package testbed

import (
	"errors"
	"strconv"
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// The plain service of the sheet of vzorovna-sk and its route for requests that must not run twice.
const (
	Issuance = ident.Pool("issuance-api")
	// IssuePath is the path prefix of the route for certificates.
	IssuePath = "/issue/"
	// ClientKey is the key of the only tenant.
	ClientKey = "n2ctnfzs989anu6wsjnb"
	// ClientDeadline is how long clients of the route wait.
	ClientDeadline = 1500 * time.Millisecond
	// IssueWork is how long a server works on a request.
	IssueWork       = 30 * time.Millisecond
	issuanceServers = 4
	issuanceSlots   = 6
	readyTimeout    = 15 * time.Second
)

// StartIssuance starts one router and the servers of the issuance service. change may change the configuration of each server.
func (b *Bed) StartIssuance(runs *Runs, change func(index int, config *ServerConfig)) (*Router, error) {
	customerTier := ident.Tier(1)
	b.Configure(platform.Configuration{
		Version: 7,
		Routes: []platform.Route{{
			Name: "cert-issue", Host: Host, PathPrefix: IssuePath, Kind: platform.NonIdempotent, Timeout: 800, Objective: 150, Tier: 2,
			Service: Issuance, MaxServers: 1,
		}},
		Services:  []platform.Service{{Name: Issuance, HealthPath: "/healthz", MaxConnections: 96}},
		Limits:    platform.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 3000, IdleTimeout: 15000},
		Customers: []platform.Customer{{Name: "hule930", Keys: []string{ClientKey}, Tier: &customerTier}},
	})
	for index := range issuanceServers {
		config := ServerConfig{ID: ident.Endpoint("i-issuance-" + strconv.Itoa(index)), Service: Issuance, Slots: issuanceSlots, Runs: runs, Work: IssueWork}
		change(index, &config)
		if err := b.AddServer(config); err != nil {
			return nil, err
		}
	}
	router, err := b.AddRouter(b.Store.Address(), b.Duties.Address())
	if err != nil {
		return nil, err
	}
	if err := b.AwaitReady(readyTimeout); err != nil {
		return nil, errors.Join(errors.New("the router does not start"), err)
	}
	return router, nil
}

// Issue returns an attempt to issue a certificate.
func Issue(id, certificate string, body []byte) Request {
	return Request{ID: id, Method: "POST", Path: IssuePath + certificate, Key: ClientKey, Deadline: ClientDeadline, Body: body}
}
