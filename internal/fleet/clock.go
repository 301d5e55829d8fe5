package fleet

import (
	"time"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
