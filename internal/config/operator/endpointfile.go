package operator

import (
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/discovery"
)

// EngineFile tell of the file that lists them. Times are seconds.
type EngineFile struct {
	File, CopyPath                             string // File is "" where there is none
	SettleTime, UnsettledWarning, PollInterval float64
	MaxRemovedFraction, HoldDownTime           float64
	MaxBytes, MaxEndpoints                     int
	Zones, Kinds                               []string // that entries may name, nil for any
}

// Bounds are what a list of engines must keep to.
func (e EngineFile) Bounds() discovery.Bounds {
	return discovery.Bounds{MaxEndpoints: e.MaxEndpoints, MaxBytes: e.MaxBytes, Zones: e.Zones, Kinds: e.Kinds}
}

// Tracker decides on the versions of the file.
func (e EngineFile) Tracker() discovery.Tracker {
	return discovery.Tracker{File: e.File, Bounds: e.Bounds(), SettleTime: e.SettleTime, UnsettledWarning: e.UnsettledWarning,
		MaxRemovedFraction: e.MaxRemovedFraction, HoldDownTime: e.HoldDownTime}
}

func (s *Settings) declareEngineFile(o *schema.Object) {
	e := &s.EngineFile
	o.String(&e.File, "file", "path of the list; without it no file is followed", schema.MaxLength(4096))
	o.String(&e.CopyPath, "copy", "path at which the last list that held is kept for a restart; nowhere without it",
		schema.MaxLength(4096))
	o.Number(&e.SettleTime, "still", "a version counts once it has stood still so long", schema.Default(0.1), schema.Between(0.01, 60),
		schema.Unit("s"))
	o.Number(&e.UnsettledWarning, "restless", "after so long without standing still, that is told", schema.Default(10.0),
		schema.Between(0.1, 3600), schema.Unit("s"))
	o.Number(&e.PollInterval, "poll", "between looks where no notice comes", schema.Default(2.0), schema.Between(0.05, 3600),
		schema.Unit("s"))
	o.Number(&e.MaxRemovedFraction, "most_removed", "part of the engines that one version may take away unconfirmed",
		schema.Default(0.5), schema.Between(0, 1))
	o.Number(&e.HoldDownTime, "hold_for", "after so long a version held back is taken all the same; 0 for never",
		schema.Default(0.0), schema.Between(0, 1e6), schema.Unit("s"))
	schema.Integer(o, &e.MaxBytes, "most_bytes", "of the file; it is read no further", schema.Default(4<<20),
		schema.Between(1024, 64<<20), schema.Unit("bytes"))
	schema.Integer(o, &e.MaxEndpoints, "most_engines", "that the file may name", schema.Default(s.Limits.MaxEngines),
		schema.Between(1, 100000))
	if e.File != "" && e.CopyPath == e.File {
		o.AddError("copy", "must be another file than the list")
	}
	e.Zones, e.Kinds = s.Settings.Zones, s.Settings.MachineTypes
}
