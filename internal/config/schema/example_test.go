package schema_test

import (
	"fmt"

	"copperrock.example/copperrock/internal/config/schema"
)

// server holds the settings that the examples read.
type server struct {
	address string
	timeout float64
}

// declare declares each option once, for both the reader and the documentation.
func (s *server) declare(o *schema.Object) {
	o.String(&s.address, "address", "address to listen on", schema.Required())
	o.Number(&s.timeout, "timeout", "timeout of a response", schema.Default(2.5), schema.Between(0, 60), schema.Unit("s"))
}

func ExampleRead() {
	text := []byte(`{
		// comments and a trailing comma are allowed
		"address": "127.0.0.1:9090",
	}`)
	var s server
	if err := schema.Read("server.jsonc", text, schema.DefaultBounds, s.declare); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(s.address, s.timeout)
	// Output: 127.0.0.1:9090 2.5
}

// All errors of a file are reported at once, each with its position.
func ExampleRead_faults() {
	text := []byte(`{"timeout": 90, "addr": "127.0.0.1:9090"}`)
	var s server
	fmt.Println(schema.Read("server.jsonc", text, schema.DefaultBounds, s.declare))
	// Output:
	// server.jsonc:1:1: address: is missing
	// server.jsonc:1:13: timeout: 90 is out of range, 0 to 60 s
	// server.jsonc:1:17: addr: is not known
}
