package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3"
)

// silentLogger is raft's logger. It discards all messages, because the voter does its own logging, and turns fatal ones into
// panics, which Core.recoverPanic catches.
type silentLogger struct{ raft.Logger }

func (silentLogger) Debug(...any) {}

func (silentLogger) Debugf(string, ...any) {}

func (silentLogger) Error(...any) {}

func (silentLogger) Errorf(string, ...any) {}

func (silentLogger) Info(...any) {}

func (silentLogger) Infof(string, ...any) {}

func (silentLogger) Warning(...any) {}

func (silentLogger) Warningf(string, ...any) {}

func (silentLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (silentLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func (silentLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (silentLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
