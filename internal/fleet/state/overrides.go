package state

import (
	"cmp"
	"maps"
	"slices"
)

// Override is what an operator has set for one target. A later one of the same kind and target replaces it.
type Override struct {
	Number    uint64  `msgpack:"Number"` // rises over all overrides
	Kind      string  `msgpack:"Kind"`
	Target    string  `msgpack:"Target"`
	Amount    float64 `msgpack:"Amount"`
	Revoked   bool    `msgpack:"Ends"`  // it revokes an earlier one, and is deleted once every controller has applied it
	ExpiresAt int64   `msgpack:"Until"` // Unix seconds at which the leader revokes it, 0 for never
}

// The kinds of override.
const (
	DrainEngine = "drain"  // the engine Target gets no new requests
	TeamBudget  = "budget" // Amount is the total of the quantity Target, in MB
)

// OverrideKey is the key under which an override is stored: there is one for each kind and target.
func OverrideKey(kind, target string) string { return kind + " " + target }

// SetOverride sets an override, or revokes the one that is set.
type SetOverride struct {
	Kind, Target string
	Amount       float64
	ExpiresAt    int64 // Unix seconds, 0 for never
	Revoke       bool
	Number       uint64 // of the override to be revoked, 0 for any
}

// Command encodes the override.
func (s SetOverride) Command() Command {
	return Command{Op: OpSetOverride, Text: s.Kind, Subject: s.Target, Amount: s.Amount, Time: s.ExpiresAt, Revoke: s.Revoke, Number: s.Number}
}

func (m *Machine) setOverride(s SetOverride) error {
	key := OverrideKey(s.Kind, s.Target)
	old, exists := m.Overrides[key]
	switch {
	case s.Kind != DrainEngine && s.Kind != TeamBudget || s.Target == "" || len(s.Target) > maxTargetLength || !(s.Amount >= 0):
		return reject(ErrInvalid, "no order %q of %q", s.Kind, s.Target)
	case s.Revoke && (!exists || old.Revoked):
		return reject(ErrInvalid, "nothing of that kind is ordered of %s", s.Target)
	case !exists && len(m.Overrides) >= maxOverrides:
		return reject(ErrLimit, "there are %d orders, the most", maxOverrides)
	case s.Revoke && s.Number != 0 && s.Number != old.Number: // it expired, but another has been set since
		return reject(ErrFenced, "order %d of %s holds no more", s.Number, s.Target)
	}
	override := Override{Number: m.AppliedCommands, Kind: s.Kind, Target: s.Target, Amount: s.Amount, Revoked: s.Revoke}
	if !s.Revoke {
		override.ExpiresAt = max(s.ExpiresAt, 0)
	}
	m.Overrides[key] = override
	return nil
}

// DeleteOverride forgets a revoked override once every controller has applied the revocation.
type DeleteOverride struct {
	Kind, Target string
	Number       uint64
}

// Command encodes the deletion.
func (d DeleteOverride) Command() Command {
	return Command{Op: OpDeleteOverride, Text: d.Kind, Subject: d.Target, Number: d.Number}
}

func (m *Machine) deleteOverride(d DeleteOverride) error {
	key := OverrideKey(d.Kind, d.Target)
	if override, exists := m.Overrides[key]; !exists || override.Number != d.Number || !override.Revoked {
		return reject(ErrFenced, "order %d of %s is not to be forgotten", d.Number, d.Target)
	}
	delete(m.Overrides, key)
	return nil
}

// SortedOverrides lists the overrides by number.
func (m *Machine) SortedOverrides() []Override {
	return slices.SortedFunc(maps.Values(m.Overrides), func(x, y Override) int { return cmp.Compare(x.Number, y.Number) })
}
