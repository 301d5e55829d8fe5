// Command simadapter hosts instances of the decision module on the simulator's
// wire: batches on standard input, replies on standard output.
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
