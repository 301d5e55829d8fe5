// Package allocation divides a quantity among controllers: weighted max-min fairness over what each demands, guaranteed
// minimums first, a reserve for newcomers, and what nobody demands spread as headroom, so that a burst finds some at hand.
// It has no I/O, no clock and no state. That nothing is given twice while amounts move is package state's concern.
package allocation
