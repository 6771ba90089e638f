package router

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"vanillapond/internal/connection/socket"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/platform"
)

// usageReportSender sends the counts of finished usage windows to the platform.
type usageReportSender struct{ duties *platform.Duties }

// Send implements usage.ReportSender. A report that is given up is not sent later, whatever happens to the link or to this process.
func (s usageReportSender) Send(ctx context.Context, report usage.Report) error {
	connection := &socket.Call{Gate: report.Confirm, UnackedTimeout: report.Timeout}
	call := platform.DutyCall{Fence: report.Fence, Timeout: report.Timeout, Dial: connection.Dial}
	err := s.duties.ReportUsage(ctx, call, platform.UsageReport{Window: int64(report.Window), Started: report.Counts})
	if errors.Is(err, table.ErrOutcomeUnknown) && !connection.Written() {
		return oops.Wrapf(table.ErrRefused, "%v", err)
	}
	return err
}
