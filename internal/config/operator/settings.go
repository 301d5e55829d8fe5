// Package operator reads the operator's own settings: one file of JSON with comments, strictly. The same declarations give
// docs/settings.md. What the platform tells at the start (package platform) holds where this file is silent.
package operator

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"

	"copperrock.example/copperrock/internal/config/deployment"
	"copperrock.example/copperrock/internal/config/platform"
	"copperrock.example/copperrock/internal/config/schema"
	"copperrock.example/copperrock/internal/limits"
	"copperrock.example/copperrock/internal/logging"
)

// Settings are all that a controller is started with.
type Settings struct {
	platform.Config
	Limits        limits.Limits
	Log           logging.Options
	EngineFile    EngineFile
	RequestFields RequestFields
	Teams         Teams
	Sections      map[string]any // what further sections have read, by their names
}

// Section is a part of the file that another part of the program declares. Declare is called once the rest has been
// read, and gives what it has read.
type Section struct {
	Name, Text string
	Declare    func(s *Settings, o *schema.Object) any
}

// FromPlatform gives the settings of a controller that has no file of the operator's.
func FromPlatform(c platform.Config, more ...Section) *Settings {
	s := &Settings{Config: c}
	blank := schema.Read("", []byte("{}"), schema.DefaultBounds, s.declareWith(more))
	if blank != nil { // only what the platform has not told can be missing
		panic(blank)
	}
	return s
}

// Read reads the operator's file over what the platform tells, nil where there is no platform. The error is
// schema.FieldErrors where the file could be read.
func Read(file string, platform *platform.Config, more ...Section) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text, platform, more...)
}

// Parse reads a text as Read does a file.
func Parse(file string, text []byte, platform *platform.Config, more ...Section) (*Settings, error) {
	s := &Settings{}
	if platform != nil {
		s.Config = *platform
	}
	if err := schema.Read(file, text, schema.DefaultBounds, s.declareWith(more)); err != nil {
		return nil, err
	}
	return s, nil
}

// Describe lists all options.
func Describe(more ...Section) []schema.Option {
	return schema.Describe(new(Settings).declareWith(more))
}

// declareWith declares all, the further sections last.
func (s *Settings) declareWith(more []Section) func(*schema.Object) {
	return func(o *schema.Object) {
		s.declare(o)
		s.Sections = map[string]any{}
		for _, one := range more {
			o.Object(one.Name, one.Text, func(o *schema.Object) { s.Sections[one.Name] = one.Declare(s, o) })
		}
	}
}

func (s *Settings) declare(o *schema.Object) {
	alone := len(s.Settings.Classes) == 0 // no platform
	needed := func(is ...schema.Rule) []schema.Rule {
		if alone {
			return append(is, schema.Required())
		}
		return is
	}
	o.String(&s.Name, "name", "this gateway's name, the same after a restart", schema.Default(cmp.Or(s.Name, "copperrock")),
		schema.MaxLength(64))
	o.String(&s.Listen, "listen", "address and port for clients",
		needed(schema.Default(s.Listen), schema.Check(checkAddress))...)
	o.String(&s.ChannelAddress, "channel", "address and port of a command channel that lists engines; none without it",
		schema.Default(s.ChannelAddress), schema.Check(checkAddress))
	seed := ""
	if o.String(&seed, "seed", "for chance; by name where it is not given"); seed != "" {
		h := fnv.New64a()
		h.Write([]byte(seed))
		s.Seed = h.Sum64()
	}
	o.Object("machine", "what the program may use", func(o *schema.Object) {
		schema.Integer(o, &s.MemoryMB, "memory_mb", "memory; buffers, open jobs and the collector are sized by it",
			schema.Default(cmp.Or(s.MemoryMB, 192)), schema.Between(16, 1<<20), schema.Unit("MB"))
		schema.Integer(o, &s.MaxDescriptors, "sockets", "file descriptors, parted between clients and engines",
			schema.Default(cmp.Or(s.MaxDescriptors, 1024)), schema.Between(32, 1<<20))
	})
	s.Limits = limits.For(cmp.Or(max(s.MemoryMB, 0), 192), cmp.Or(max(s.MaxDescriptors, 0), 1024))
	o.Object("log", "what is written to standard error", s.declareLog)
	o.Object("clients", "bounds on clients' connections; the defaults suit clients that are not trusted", s.declareClients)
	o.Object("dispatches", "bounds on connections to engines", s.declareDispatches)
	o.Object("leaving", "the end after SIGTERM", s.declareShutdown)
	o.Object("deployment", "what is run, where the platform does not tell it; given, it holds whole", func(o *schema.Object) {
		if alone || o.Has("types") {
			s.declareDeployment(o)
		}
	}, needed()...)
	o.Object("engines", "a file that lists the engines; docs/operators/engines-file.md", s.declareEngineFile)
	o.Object("requests", "names of the request fields that say whose a job is; none of them is read without a name", func(o *schema.Object) {
		s.RequestFields.declare(o, !alone)
	})
	o.Object("teams", "budgets of teams; docs/operators/teams.md", s.declareTeams)
	if alone && s.ChannelAddress == "" && s.EngineFile.File == "" {
		o.AddError("", "neither channel nor engines.file tells of any engine")
	}
}

func checkAddress(text string) error {
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("%q is no address with a port", text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q has no port from 0 to 65535", text)
	}
	return nil
}

func checkWord(name string) error {
	if name == "" || deployment.EscapeName(name) != name {
		return fmt.Errorf("%q is no name: one word without commas", name)
	}
	return nil
}
