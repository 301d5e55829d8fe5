package state

import (
	"cmp"
	"maps"
	"slices"
)

// Override is an operator's setting for one target. A later override of the same kind and target replaces it.
type Override struct {
	Number    uint64  `msgpack:"Number"` // increases across all overrides
	Kind      string  `msgpack:"Kind"`
	Target    string  `msgpack:"Target"`
	Amount    float64 `msgpack:"Amount"`
	Revoked   bool    `msgpack:"Ends"`  // revoked, and deleted once every controller has applied the revocation
	ExpiresAt int64   `msgpack:"Until"` // Unix seconds at which the leader revokes it, 0 for never
}

// The kinds of override.
const (
	DrainEngine = "drain"  // the engine Target gets no new requests
	TeamBudget  = "budget" // Amount replaces the total of the quantity Target, in MB
)

// OverrideKey returns the key under which an override is stored. There is one override for each kind and target.
func OverrideKey(kind, target string) string { return kind + " " + target }

// SetOverride sets an override, or revokes the current one.
type SetOverride struct {
	Kind, Target string
	Amount       float64
	ExpiresAt    int64 // Unix seconds, 0 for never
	Revoke       bool
	Number       uint64 // number of the override to revoke, 0 for whichever is set
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
		return reject(ErrInvalid, "invalid override of kind %q for %q", s.Kind, s.Target)
	case s.Revoke && (!exists || old.Revoked):
		return reject(ErrInvalid, "no override of that kind is set for %s", s.Target)
	case !exists && len(m.Overrides) >= maxOverrides:
		return reject(ErrLimit, "there are already %d overrides, the limit", maxOverrides)
	case s.Revoke && s.Number != 0 && s.Number != old.Number: // the override expired, but a newer one has been set since
		return reject(ErrFenced, "override %d for %s has been replaced", s.Number, s.Target)
	}
	override := Override{Number: m.AppliedCommands, Kind: s.Kind, Target: s.Target, Amount: s.Amount, Revoked: s.Revoke}
	if !s.Revoke {
		override.ExpiresAt = max(s.ExpiresAt, 0)
	}
	m.Overrides[key] = override
	return nil
}

// DeleteOverride deletes a revoked override. It is proposed once every controller has applied the revocation.
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
		return reject(ErrFenced, "override %d for %s is not the current one or not revoked", d.Number, d.Target)
	}
	delete(m.Overrides, key)
	return nil
}

// SortedOverrides returns the overrides sorted by number.
func (m *Machine) SortedOverrides() []Override {
	return slices.SortedFunc(maps.Values(m.Overrides), func(x, y Override) int { return cmp.Compare(x.Number, y.Number) })
}
