// Package operator reads the operator's settings, a file of JSON with comments that is checked strictly. docs/settings.md is
// generated from the same declarations. The platform's configuration (package platform) supplies the settings that the file does
// not have.
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

// Settings are the settings of a controller.
type Settings struct {
	platform.Config
	Limits        limits.Limits
	Log           logging.Options
	EngineFile    EngineFile
	RequestFields RequestFields
	Teams         Teams
	Sections      map[string]any // results of Section.Declare, by the names of the sections
}

// Section is a section of the file that another package declares. Declare is called after the settings of this package were
// read, and returns the settings of the section.
type Section struct {
	Name, Text string
	Declare    func(s *Settings, o *schema.Object) any
}

// FromPlatform returns the settings of a controller without an operator's file.
func FromPlatform(c platform.Config, more ...Section) *Settings {
	s := &Settings{Config: c}
	err := schema.Read("", []byte("{}"), schema.DefaultBounds, s.declareWith(more))
	if err != nil { // can't happen: with a platform, no setting is required
		panic(err)
	}
	return s
}

// Read reads the operator's file. Its settings override those of the platform, which is nil if there is none. If the file can be
// read, an error is of type schema.FieldErrors.
func Read(file string, platform *platform.Config, more ...Section) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text, platform, more...)
}

// Parse is like Read for the text of a file, whose name is used in errors.
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

// Describe returns all options, for the documentation.
func Describe(more ...Section) []schema.Option {
	return schema.Describe(new(Settings).declareWith(more))
}

// declareWith returns a function that declares all settings, those of the further sections last.
func (s *Settings) declareWith(more []Section) func(*schema.Object) {
	return func(o *schema.Object) {
		s.declare(o)
		s.Sections = map[string]any{}
		for _, section := range more {
			o.Object(section.Name, section.Text, func(o *schema.Object) { s.Sections[section.Name] = section.Declare(s, o) })
		}
	}
}

func (s *Settings) declare(o *schema.Object) {
	standalone := len(s.Settings.Classes) == 0 // whether there is no platform
	requiredIfStandalone := func(rules ...schema.Rule) []schema.Rule {
		if standalone {
			return append(rules, schema.Required())
		}
		return rules
	}
	o.String(&s.Name, "name", "name of this gateway, which must stay the same after a restart", schema.Default(cmp.Or(s.Name, "copperrock")),
		schema.MaxLength(64))
	o.String(&s.Listen, "listen", "address and port for clients",
		requiredIfStandalone(schema.Default(s.Listen), schema.Check(checkAddress))...)
	o.String(&s.ChannelAddress, "channel", "address and port of a command channel that lists the engines; without it there is none",
		schema.Default(s.ChannelAddress), schema.Check(checkAddress))
	seed := ""
	if o.String(&seed, "seed", "seed of random numbers; by default that of the platform, or 0 without a platform"); seed != "" {
		h := fnv.New64a()
		h.Write([]byte(seed))
		s.Seed = h.Sum64()
	}
	o.Object("machine", "resources that the program may use", func(o *schema.Object) {
		schema.Integer(o, &s.MemoryMB, "memory_mb", "memory, which determines the limits of buffers, open jobs and the garbage collector",
			schema.Default(cmp.Or(s.MemoryMB, 192)), schema.Between(16, 1<<20), schema.Unit("MB"))
		schema.Integer(o, &s.MaxDescriptors, "sockets", "file descriptors, divided between clients and engines",
			schema.Default(cmp.Or(s.MaxDescriptors, 1024)), schema.Between(32, 1<<20))
	})
	s.Limits = limits.For(cmp.Or(max(s.MemoryMB, 0), 192), cmp.Or(max(s.MaxDescriptors, 0), 1024))
	o.Object("log", "the log, which is written to standard error", s.declareLog)
	o.Object("clients", "limits of clients' connections; the defaults suit untrusted clients", s.declareClients)
	o.Object("dispatches", "limits of connections to engines", s.declareDispatches)
	o.Object("leaving", "shutdown after SIGTERM", s.declareShutdown)
	o.Object("deployment", "the engines' machines, the types of jobs and the customers; it replaces the platform's deployment as a whole, and is required without a platform", func(o *schema.Object) {
		if standalone || o.Has("types") {
			s.declareDeployment(o)
		}
	}, requiredIfStandalone()...)
	o.Object("engines", "file that lists the engines; see docs/operators/engines-file.md", s.declareEngineFile)
	o.Object("requests", "names of optional fields of requests; a field without a name is not read", func(o *schema.Object) {
		s.RequestFields.declare(o, !standalone)
	})
	o.Object("teams", "budgets of teams; see docs/operators/teams.md", s.declareTeams)
	if standalone && s.ChannelAddress == "" && s.EngineFile.File == "" {
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
