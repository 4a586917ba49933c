// Command wirehost answers the simulator's wire on standard input and output with the policy's decisions.
package main

import (
	"fmt"
	"os"

	"flintspread/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
