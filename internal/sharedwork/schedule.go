package sharedwork

import (
	"fmt"
	"time"

	"github.com/robfig/cron/v3"
)

// parseSchedule parses a cron schedule in a time zone. Its times are whole seconds of the Unix clock, and the same at all
// controllers.
func parseSchedule(schedule, zone string) (cron.Schedule, error) {
	if _, err := time.LoadLocation(zone); err != nil {
		return nil, fmt.Errorf("time zone %q is not known here", zone)
	}
	parsed, err := cron.ParseStandard("CRON_TZ=" + zone + " " + schedule)
	if err != nil {
		return parsed, err
	}
	if every, constant := parsed.(cron.ConstantDelaySchedule); constant {
		return alignedInterval(every.Delay / time.Second), nil
	}
	return parsed, nil
}

// alignedInterval is an interval in seconds. As a schedule, it is due at the multiples of the interval on the Unix clock, so
// that its times don't depend on when a controller was started.
type alignedInterval int64

// Next returns the first time of the schedule after t.
func (a alignedInterval) Next(t time.Time) time.Time {
	every := max(int64(a), 1)
	return time.Unix((t.Unix()/every+1)*every, 0)
}
