package requestlog

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Clock is a clock that never goes back until the machine reboots.
type Clock struct {
	BootID string         // identifies the boot of the machine
	Now    func() float64 // seconds since the boot
}

// MachineClock returns the machine's boot clock, which keeps counting while the machine sleeps. If the boot ID can't be read,
// every process start is treated as a reboot, which is the stricter case.
func MachineClock() Clock {
	bootID, err := os.ReadFile(bootIDFile)
	if err != nil {
		return Clock{BootID: fmt.Sprint("unknown ", time.Now().UnixNano()), Now: bootTime}
	}
	return Clock{BootID: strings.TrimSpace(string(bootID)), Now: bootTime}
}

func bootTime() float64 {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) // fails only for unknown clocks
	return float64(now.Sec) + float64(now.Nsec)/1e9
}

// seconds converts a setting in seconds to a duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
