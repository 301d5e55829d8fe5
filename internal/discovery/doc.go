// Package discovery maintains the list of endpoints: the engines that a gateway may send requests to. Lists come from
// sources: a file that operators maintain (package file) and the command channel (package watch). Package merge combines
// them if there is more than one.
//
// This package parses and validates endpoint lists, compares their versions, merges the lists of several sources, and
// decides which version of a file becomes current (Tracker). It does no I/O, starts no goroutines and reads no clock.
package discovery
