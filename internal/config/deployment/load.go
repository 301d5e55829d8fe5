package deployment

import (
	"slices"

	"copperrock.example/copperrock/admission"
)

// notReported stands for what a load report does not have.
const notReported = -1

// loadFields are the names of a report's values, in the order of a Load: requests, requests waiting, and the shares of the
// cores, of the memory and of the disks.
var loadFields = []string{"busy_reqs", "pending", "cpu_share", memoryField, "x1"}

// Load is a load report, by loadFields.
type Load [5]float64

// NoLoad is a report without values.
var NoLoad = Load{notReported, notReported, notReported, notReported, notReported}

// Report returns the load in the admission controller's terms.
func (l Load) Report() admission.LoadReport {
	return admission.LoadReport{
		Waiting:       admission.Measured(l[1]),
		CPU:           admission.Measured(l[2]),
		MemoryGranted: admission.Measured(l[3]),
	}
}

// Set sets a value by its field's name; unknown names are passed over.
func (l *Load) Set(field string, value float64) {
	if i := slices.Index(loadFields, field); i >= 0 {
		l[i] = value
	}
}
