package admission

import "testing"

// A request that is restricted to zones or machine types waits rather than run elsewhere.
func TestClassBinding(t *testing.T) {
	x := newTrace(t, Settings{}, Class{AllowedZones: []int{1}}, Class{AllowedMachineTypes: []int{0}})
	x.listReady(Snapshot, 1, 101)
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.arrive(Request{ID: 2, Class: 1, Work: 1, Memory: 100})
	x.endAttempt(1, 0, ConnectFailed)
	x.advanceTo(0.5) // it waits rather than run elsewhere
	x.endAttempt(2, 0, Failed)
	x.tallies()
	x.checkGolden()
}

// Crossing zones has a fixed cost per request, so a short request stays where a long one crosses.
func TestShortRequestsStayInZone(t *testing.T) {
	x := newTrace(t, Settings{}, Class{})
	x.listReady(Snapshot, 1, 101)
	x.arrive(Request{ID: 1, Work: 0.3, Memory: 100})
	x.arrive(Request{ID: 2, Work: 0.1, Memory: 100})
	x.arrive(Request{ID: 3, Work: 1, Memory: 100})
	x.arrive(Request{ID: 4, Work: 1, Memory: 100})
	x.arrive(Request{ID: 5, Work: 0.1, Memory: 100})
	x.checkGolden()
}

// An engine whose machine type or zone is not in the settings takes only unrestricted requests. So does one that changes to
// such a type between lists. A restricted request waits, or ends, rather than run there.
func TestUnknownMachineType(t *testing.T) {
	x := newTrace(t, Settings{}, Class{}, Class{AllowedMachineTypes: []int{1}}, Class{AllowedZones: []int{1}})
	listed := func(mode ListMode, zone, machineType int) {
		x.logEvent("endpoint: engine 1 in zone %d, of machine type %d", zone, machineType)
		x.UpdateEndpoints(x.at, mode, []Endpoint{{ID: 1, Zone: zone, MachineType: machineType, Ready: true, Weight: 1}})
	}
	listed(Snapshot, 7, 2) // the settings name two machine types
	x.arrive(Request{ID: 1, Work: 1, Memory: 100})
	x.arrive(Request{ID: 2, Class: 1, Work: 1, Memory: 100})
	x.arrive(Request{ID: 3, Class: 2, Work: 1, Memory: 100})
	x.advanceTo(0.5)
	listed(Delta, 1, 1)
	x.advanceTo(0.6)
	x.endAttempt(2, 0, Failed)
	listed(Delta, 1, 9)
	x.arrive(Request{ID: 4, Class: 1, Work: 1, Memory: 100})
	x.advanceTo(20)
	x.checkGolden()
}
