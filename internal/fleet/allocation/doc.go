// Package allocation divides a quantity among controllers by weighted max-min fairness over their demands. Guaranteed
// minimums are met first, a reserve is held back for controllers that join later, and whatever exceeds the total demand is
// spread over all controllers as headroom for bursts.
//
// The package only computes target amounts: it does no I/O, reads no clock and keeps no state. Package state makes sure
// that no amount is granted twice while it moves from one controller to another.
package allocation
