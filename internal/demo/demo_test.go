package demo

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

func TestGuaranteesHoldForBothUsers(t *testing.T) {
	for _, user := range []string{"amarres", "kowhai-lane"} {
		t.Run(user, func(t *testing.T) {
			t.Parallel()
			report, err := Run(context.Background(), Options{
				User: user, Duration: 12 * time.Second, Seed: 1, Logger: zerolog.Nop(),
			})
			if err != nil {
				t.Fatal(err)
			}
			// The propagation time depends on the speed of the machine and is not checked.
			report.Propagation = 0
			for _, line := range report.Violations() {
				t.Error(line)
			}
			if report.FlowsOpened == 0 || report.PacketsDelivered == 0 {
				t.Errorf("no flows ran: %+v", report)
			}
			if countAnswered(report) == 0 {
				t.Errorf("no request was answered: %+v", report.Requests)
			}
		})
	}
}

func TestUnknownUser(t *testing.T) {
	if _, err := Run(context.Background(), Options{User: "nobody"}); err == nil {
		t.Fatal("want an error that names the users")
	}
}
