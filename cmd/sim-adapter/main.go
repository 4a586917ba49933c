// Command sim-adapter answers the frames that the simulator writes to its standard input with the policy's decisions on standard output.
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
