// Package platform reads what the controller is told at its start.
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

// Config is the whole of it, read and checked once.
type Config struct {
	File                         string
	Name, Listen, ChannelAddress string
	Seed                         uint64
	MemoryMB, MaxDescriptors     int
	LastEvent                    int64
	Events                       []json.RawMessage
	Settings                     deployment.Settings
}

// Read reads the file.
func Read(file string) (Config, error) {
	if file == "" {
		return Config{}, errors.New("LB_CONFIG names no file")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Config{}, err
	}
	var in struct {
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
	if err := json.Unmarshal(text, &in); err != nil {
		return Config{}, fmt.Errorf("%s: %w", file, err)
	}
	c := Config{File: file, Name: in.Name, Listen: in.Listen, ChannelAddress: in.Channel, MemoryMB: int(in.Limits.MemoryMB),
		MaxDescriptors: int(in.Limits.Sockets), LastEvent: in.Known.Cursor, Events: in.Known.Cmds}
	if c.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil { // any text will do for chance
		h := fnv.New64a()
		h.Write([]byte(in.Seed))
		c.Seed = h.Sum64()
	}
	if c.Settings, err = deployment.ParseJSON(in.Settings); err != nil {
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
