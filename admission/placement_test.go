package admission

import (
	"testing"
)

func TestClassBinding(t *testing.T) {
	x := start(t, Settings{}, Class{AllowedZones: []int{1}}, Class{AllowedMachineTypes: []int{0}})
	x.list(Snapshot, true, 0, 1, 101)
	x.arrive(1, 0, 0, 1, 100)
	x.arrive(2, 1, 0, 1, 100)
	x.outcome(1, 0, ConnectFailed)
	x.pass(0.5) // rather held than sent elsewhere
	x.outcome(2, 0, Failed)
	x.tallies()
	x.check()
}

// Crossing has the same price for every job: a short one stays where a long one crosses.
func TestShortRequestsStayInZone(t *testing.T) {
	x := start(t, Settings{}, Class{})
	x.list(Snapshot, true, 0, 1, 101)
	x.arrive(1, 0, 0, 0.3, 100)
	x.arrive(2, 0, 0, 0.1, 100)
	x.arrive(3, 0, 0, 1, 100)
	x.arrive(4, 0, 0, 1, 100)
	x.arrive(5, 0, 0, 0.1, 100)
	x.check()
}

// An engine of a kind or zone that the settings do not name takes unbound jobs alone; so does one that changes to such a
// kind between lists. A bound job is held, or ended, rather than sent there.
func TestUnknownMachineType(t *testing.T) {
	x := start(t, Settings{}, Class{}, Class{AllowedMachineTypes: []int{1}}, Class{AllowedZones: []int{1}})
	listed := func(mode ListMode, zone, kind int) {
		x.say("endpoint: engine 1 in zone %d, of machine type %d", zone, kind)
		x.UpdateEndpoints(x.at, mode, []Endpoint{{ID: 1, Zone: zone, MachineType: kind, Ready: true, Weight: 1}})
	}
	listed(Snapshot, 7, 2) // two kinds are named
	x.arrive(1, 0, 0, 1, 100)
	x.arrive(2, 1, 0, 1, 100)
	x.arrive(3, 2, 0, 1, 100)
	x.pass(0.5)
	listed(Delta, 1, 1)
	x.pass(0.6)
	x.outcome(2, 0, Failed)
	listed(Delta, 1, 9)
	x.arrive(4, 1, 0, 1, 100)
	x.pass(20)
	x.check()
}
