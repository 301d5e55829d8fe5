// Package platform reads the configuration that the platform passes to a controller at startup, in the file
// that LB_CONFIG names.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"

	"copperrock.example/copperrock/internal/config/deployment"
)

// Config is the platform's configuration of a controller.
type Config struct {
	File           string            // path that the configuration was read from
	Name           string            // name of the controller
	Listen         string            // address for clients
	ChannelAddress string            // address of the command channel
	Seed           uint64            // seed of random numbers
	MemoryMB       int               // memory limit, MB
	MaxDescriptors int               // limit of open file descriptors
	LastEvent      int64             // sequence number of the last watch event in Events
	Events         []json.RawMessage // watch events known at startup
	Settings       deployment.Settings
}

// document is the configuration file, with the platform's names.
type document struct {
	Name    string `json:"Name"`
	Listen  string `json:"Listen"`
	Seed    string `json:"Seed"`
	Channel string `json:"Channel"`
	Limits  struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"Sockets"`
	} `json:"Limits"`
	Known struct {
		Cursor int64             `json:"Cursor"`
		Cmds   []json.RawMessage `json:"Cmds"`
	} `json:"Known"`
	Settings json.RawMessage `json:"Settings"`
}

// Read reads and checks the configuration file.
func Read(file string) (Config, error) {
	if file == "" {
		return Config{}, errors.New("LB_CONFIG names no file")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Config{}, err
	}
	var d document
	if err := json.Unmarshal(text, &d); err != nil {
		return Config{}, fmt.Errorf("%s: %w", file, err)
	}
	c := Config{
		File:           file,
		Name:           d.Name,
		Listen:         d.Listen,
		ChannelAddress: d.Channel,
		Seed:           parseSeed(d.Seed),
		MemoryMB:       int(d.Limits.MemoryMB),
		MaxDescriptors: int(d.Limits.Sockets),
		LastEvent:      d.Known.Cursor,
		Events:         d.Known.Cmds,
	}
	if c.Settings, err = deployment.ParseJSON(d.Settings); err != nil {
		return c, fmt.Errorf("%s: %w", file, err)
	}
	return c, c.validate()
}

// parseSeed parses a seed in hexadecimal digits. Any other text is a seed too, by its hash.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// validate returns why a controller can't run with the configuration, or nil.
func (c *Config) validate() error {
	for _, address := range []string{c.Listen, c.ChannelAddress} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s: %w", c.File, err)
		}
	}
	if c.MemoryMB < 16 || c.MaxDescriptors < 32 {
		return fmt.Errorf("%s: limits of %d MB and %d descriptors are too low to run", c.File, c.MemoryMB, c.MaxDescriptors)
	}
	if len(c.Settings.Classes) == 0 {
		return fmt.Errorf("%s: the settings hold no reservation type", c.File)
	}
	return nil
}
