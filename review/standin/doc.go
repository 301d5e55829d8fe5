//go:build review

// Command standin holds the stand-ins of the review's cases: engines, clients, a command channel, a proxy, and the code that
// starts the project's program and runs one case. review/build.sh builds it. The build tag keeps it out of the project's own
// builds and tests.
package main
