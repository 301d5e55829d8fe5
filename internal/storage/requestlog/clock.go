package requestlog

import (
	"fmt"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Clock is a clock that does not go back while the machine runs.
type Clock struct {
	BootID string         // names the start of the machine
	Now    func() float64 // seconds since then
}

// MachineClock is the machine's own, which also counts while the machine sleeps. Where the machine's start has no name each
// start of the program is taken for one of the machine, which is stricter.
func MachineClock() Clock {
	bootID, err := os.ReadFile(bootIDFile)
	if err != nil {
		return Clock{BootID: fmt.Sprint("unknown ", time.Now().UnixNano()), Now: bootTime}
	}
	return Clock{BootID: strings.TrimSpace(string(bootID)), Now: bootTime}
}

func bootTime() float64 {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) // it fails for clocks that are not known alone
	return float64(now.Sec) + float64(now.Nsec)/1e9
}

// seconds gives a setting in seconds as a duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
