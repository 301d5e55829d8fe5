// Command simadapter hosts instances of the admission controller for the simulator. It reads batches of events from standard
// input and writes the replies to standard output.
package main

import (
	"fmt"
	"os"

	"copperrock.example/copperrock/internal/simprotocol"
)

func main() {
	if err := simprotocol.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
