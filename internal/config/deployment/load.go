package deployment

import (
	"slices"

	"copperrock.example/copperrock/admission"
)

// notReported is the value of a field that a load report does not have.
const notReported = -1

// loadFields are the names of the values of a Load: the number of requests, the number of queued requests, and the fractions of
// the cores, of the memory and of the disks in use.
var loadFields = []string{"busy_reqs", "pending", "cpu_share", memoryField, "x1"}

// Load holds the values of a load report, in the order of loadFields.
type Load [5]float64

// NoLoad is a load report without any value.
var NoLoad = Load{notReported, notReported, notReported, notReported, notReported}

// Report converts the load for the admission controller.
func (l Load) Report() admission.LoadReport {
	return admission.LoadReport{
		Waiting:       admission.Measured(l[1]),
		CPU:           admission.Measured(l[2]),
		MemoryGranted: admission.Measured(l[3]),
	}
}

// Set sets the value of the field with the given name. Unknown names are ignored.
func (l *Load) Set(field string, value float64) {
	if i := slices.Index(loadFields, field); i >= 0 {
		l[i] = value
	}
}
