// Command sim-adapter answers the simulator's wire on standard input and output with the policy's decisions.
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
