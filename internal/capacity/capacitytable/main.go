// Command capacitytable brings the tables of docs/CAPACITY.md up to date from
// the output of the benchmarks that tools/capacity runs.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"oleandershunt.example/oleandershunt/internal/capacity"
)

// flags are the command's arguments.
type flags struct {
	Measured string `arg:"" type:"existingfile" help:"Output of go test -bench."`
	Page     string `arg:"" type:"existingfile" help:"Page whose tables are replaced."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("capacitytable"), kong.Description("Work out the tables of the capacity page."))
	if err := f.run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacitytable:", err)
		os.Exit(1)
	}
}

func (f flags) run() error {
	in, err := os.Open(f.Measured)
	if err != nil {
		return err
	}
	defer in.Close()
	measured, err := capacity.Read(in)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(f.Page)
	if err != nil {
		return err
	}
	text, err := capacity.Render(string(page), measured, capacity.Ahead())
	if err != nil {
		return err
	}
	return os.WriteFile(f.Page, []byte(text), 0o644)
}
