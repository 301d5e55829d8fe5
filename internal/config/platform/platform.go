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

// Read reads and checks the configuration file.
func Read(file string) (Config, error) {
	if file == "" {
		return Config{}, errors.New("LB_CONFIG names no file")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Config{}, err
	}
	var config struct {
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
	if err := json.Unmarshal(text, &config); err != nil {
		return Config{}, fmt.Errorf("%s: %w", file, err)
	}
	c := Config{
		File:           file,
		Name:           config.Name,
		Listen:         config.Listen,
		ChannelAddress: config.Channel,
		MemoryMB:       int(config.Limits.MemoryMB),
		MaxDescriptors: int(config.Limits.Sockets),
		LastEvent:      config.Known.Cursor,
		Events:         config.Known.Cmds,
	}
	if c.Seed, err = strconv.ParseUint(config.Seed, 16, 64); err != nil { // not hexadecimal: any text may be a seed
		h := fnv.New64a()
		h.Write([]byte(config.Seed))
		c.Seed = h.Sum64()
	}
	if c.Settings, err = deployment.ParseJSON(config.Settings); err != nil {
		return c, fmt.Errorf("%s: %w", file, err)
	}
	for _, address := range []string{c.Listen, c.ChannelAddress} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return c, fmt.Errorf("%s: %w", file, err)
		}
	}
	if c.MemoryMB < 16 || c.MaxDescriptors < 32 {
		return c, fmt.Errorf("%s: limits of %d MB and %d descriptors are too low to run", file, c.MemoryMB, c.MaxDescriptors)
	}
	if len(c.Settings.Classes) == 0 {
		return c, fmt.Errorf("%s: the settings hold no reservation type", file)
	}
	return c, nil
}
