package operator

import (
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/discovery"
)

// EngineFile holds the settings of the file that lists the engines. Times are in seconds.
type EngineFile struct {
	File               string   // path of the file, "" for none
	CopyPath           string   // path of a copy of the last list that was applied, "" for none
	SettleTime         float64  // time without a change before a version is decided on
	UnsettledWarning   float64  // time of continuing changes after which a warning is logged
	PollInterval       float64  // interval between reads of the file where changes are not notified
	MaxRemovedFraction float64  // fraction of the engines that an unconfirmed version may remove
	HoldDownTime       float64  // time after which a version that is held down is applied; 0 for never
	MaxBytes           int      // largest size of the file
	MaxEndpoints       int      // largest number of engines in the file
	Zones, Kinds       []string // names that the entries may use, nil for any
}

// Bounds returns the limits that a list of engines must observe.
func (e EngineFile) Bounds() discovery.Bounds {
	return discovery.Bounds{MaxEndpoints: e.MaxEndpoints, MaxBytes: e.MaxBytes, Zones: e.Zones, Kinds: e.Kinds}
}

// Tracker returns a new tracker of the versions of the file.
func (e EngineFile) Tracker() discovery.Tracker {
	return discovery.Tracker{File: e.File, Bounds: e.Bounds(), SettleTime: e.SettleTime, UnsettledWarning: e.UnsettledWarning,
		MaxRemovedFraction: e.MaxRemovedFraction, HoldDownTime: e.HoldDownTime}
}

func (s *Settings) declareEngineFile(o *schema.Object) {
	e := &s.EngineFile
	o.String(&e.File, "file", "path of the file; without it no file is read", schema.MaxLength(4096))
	o.String(&e.CopyPath, "copy", "path of a copy of the last list that was applied, for a restart; by default engines.jsonc in store.folder, or no copy without a store",
		schema.MaxLength(4096))
	o.Number(&e.SettleTime, "still", "time without a change before a version is applied", schema.Default(0.1), schema.Between(0.01, 60),
		schema.Unit("s"))
	o.Number(&e.UnsettledWarning, "restless", "time of continuing changes after which a warning is logged", schema.Default(10.0),
		schema.Between(0.1, 3600), schema.Unit("s"))
	o.Number(&e.PollInterval, "poll", "interval between reads of the file, in case a change is not notified", schema.Default(2.0), schema.Between(0.05, 3600),
		schema.Unit("s"))
	o.Number(&e.MaxRemovedFraction, "most_removed", "fraction of the engines that a version may remove without being confirmed",
		schema.Default(0.5), schema.Between(0, 1))
	o.Number(&e.HoldDownTime, "hold_for", "time after which a version that is held back is applied all the same; 0 for never",
		schema.Default(0.0), schema.Between(0, 1e6), schema.Unit("s"))
	schema.Integer(o, &e.MaxBytes, "most_bytes", "largest size of the file; a larger one is rejected", schema.Default(4<<20),
		schema.Between(1024, 64<<20), schema.Unit("bytes"))
	schema.Integer(o, &e.MaxEndpoints, "most_engines", "largest number of engines in the file", schema.Default(s.Limits.MaxEngines),
		schema.Between(1, 100000))
	if e.File != "" && e.CopyPath == e.File {
		o.AddError("copy", "must be another file than the list")
	}
	e.Zones, e.Kinds = s.Settings.Zones, s.Settings.MachineTypes
}
