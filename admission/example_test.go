package admission_test

import (
	"fmt"

	"copperrock.example/copperrock/admission"
)

// printer prints the decisions on requests. A gateway would carry them out.
type printer struct{}

func (printer) StartAttempt(request, engine uint32) {
	fmt.Printf("request %d starts on engine %d\n", request, engine)
}

func (printer) SetAttemptTerms(request uint32, _ uint8, grant float64) {
	fmt.Printf("request %d is granted %.0f MB\n", request, grant)
}

func (printer) Reject(request uint32, _ float64)    { fmt.Printf("request %d is rejected\n", request) }
func (printer) Fail(request uint32)                 { fmt.Printf("request %d fails\n", request) }
func (printer) CancelAttempt(request uint32, _ int) { fmt.Printf("request %d is cancelled\n", request) }
func (printer) PollLoad(uint32)                     {}
func (printer) WatchEndpoints()                     {}
func (printer) WakeAfter(float64)                   {}

// A controller is driven by events, each with its time, and delivers its decisions through Actions. The first attempt of the
// second request cannot connect and is retried; the retry has no result by the request's deadline.
func ExampleController() {
	controller := admission.New(1, admission.Settings{
		GatewayCount:      1,
		MaxAttempts:       3,
		EnginesTakeGrants: true,
		MachineTypes:      []admission.MachineType{{Cores: 16, Memory: 32768}},
		Classes:           []admission.Class{{LatencyObjective: 0.5, PriorityWeight: 1, Threads: 1}},
	}, printer{})

	controller.UpdateEndpoints(0, admission.Snapshot, []admission.Endpoint{{ID: 7, Ready: true, Weight: 1}})
	controller.RequestArrived(1, admission.Request{ID: 1, Deadline: 4, Work: 0.1, Memory: 600})
	controller.AttemptEnded(1.1, 1, 0, admission.AttemptResult{Status: admission.Succeeded, Duration: 0.1, Final: true})
	controller.RequestArrived(2, admission.Request{ID: 2, Deadline: 4, Work: 0.1, Memory: 600})
	controller.AttemptEnded(2.1, 2, 0, admission.AttemptResult{Status: admission.ConnectFailed})
	controller.WakeUp(4)
	// Output:
	// request 1 is granted 826 MB
	// request 1 starts on engine 7
	// request 2 is granted 826 MB
	// request 2 starts on engine 7
	// request 2 is granted 826 MB
	// request 2 starts on engine 7
	// request 2 fails
}
