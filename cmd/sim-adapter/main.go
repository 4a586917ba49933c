// Command sim-adapter reads frames of events from the simulator on standard input and writes the policy's decisions to
// standard output.
package main

import (
	"fmt"
	"os"

	"flintspread/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sim-adapter:", err)
		os.Exit(1)
	}
}
