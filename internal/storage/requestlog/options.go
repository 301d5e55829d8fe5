package requestlog

import "copperrock.example/copperrock/internal/config/schema"

// About says what the section of the settings is.
const About = "what outlives a crash: outstanding jobs under the key that clients repeat, limits in their windows, what was learned; docs/operators/store.md"

// Options are the operator's settings of the store. Times are seconds.
type Options struct {
	Folder  string
	Self    string // whose store it is
	Window  float64
	Most    int     // keys
	Room    float64 // MB in memory
	File    float64 // MB of a file before all is written anew
	Answers float64 // KB of rows that are kept with an answer
	Wait    float64 // for a record to be on the disk
	Without string  // "throttle" or "send": what needs a record that can't be had
	Repeat  string  // "join" or "refuse": a job whose key is open
	Sync    float64 // between syncs of what nobody waits for
	Retry   float64 // between looks whether a disk that failed is back
	Learned float64 // between records of what was learned, 0 for none
	Fade    float64 // half-life of that
	Rate    float64 // MB a second that background work may write
	Needed  bool    // without the store no job is taken
}

// On tells whether there is a store.
func (o *Options) On() bool { return o != nil && o.Folder != "" }

// Declare declares the section.
func (o *Options) Declare(s *schema.Object) {
	seconds := func(to *float64, name, text string, fallback, low, high float64) {
		s.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit("s"))
	}
	size := func(to *float64, name, text, unit string, fallback, low, high float64) {
		s.Number(to, name, text, schema.Default(fallback), schema.Between(low, high), schema.Unit(unit))
	}
	s.Text(&o.Folder, "folder", "on a disk that outlives the process; one controller's alone. Without it there is no store")
	seconds(&o.Window, "window", "in which clients may repeat a key: it is kept as long after its last word", 120, 1, 86400)
	schema.Whole(s, &o.Most, "keys", "kept at most", schema.Default(100000), schema.Between(10, 10_000_000))
	size(&o.Room, "memory_mb", "that they may take", "MB", 16, 0.1, 100000)
	size(&o.File, "file_mb", "after which a file is written anew", "MB", 32, 0.01, 100000)
	size(&o.Answers, "answers_kb", "of rows kept with an answer; larger ones are not", "KB", 16, 0, 4096)
	seconds(&o.Wait, "wait", "for a record to be on the disk before a dispatch goes", 0.1, 0.001, 60)
	s.Text(&o.Without, "without", "what becomes of a dispatch whose record can't be had in time: throttle, or send it all the same", schema.Default("throttle"), schema.OneOf("throttle", "send"))
	s.Text(&o.Repeat, "repeat", "a job whose key is open here: it is to join that one and have its answer, or is refused", schema.Default("join"), schema.OneOf("join", "refuse"))
	seconds(&o.Sync, "sync", "between syncs of records that nobody waits for", 0.25, 0.001, 60)
	seconds(&o.Retry, "retry", "between looks whether a disk that failed takes records again", 1, 0.01, 3600)
	seconds(&o.Learned, "learned", "between records of what was learned; 0 for none", 10, 0, 3600)
	seconds(&o.Fade, "fade", "in which half of what was learned fades to the first guesses", 600, 1, 1e6)
	size(&o.Rate, "rate_mb", "a second that background work may write", "MB/s", 8, 0.01, 10000)
	s.Bool(&o.Needed, "needed", "without the store the controller takes no job; else it serves as if there were none, and says so", schema.Default(false))
}
