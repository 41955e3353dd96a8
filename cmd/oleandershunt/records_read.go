package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/operator"
	"oleandershunt.example/oleandershunt/internal/settings"
)

// explainTimeout bounds the wait for an answer of the VMs.
const explainTimeout = 10 * time.Second

// outputRecord is the form of a record as it was written.
const outputRecord = "record"

var errNotApplied = eris.New("releases and status are the system's own records and can't be applied: read them with -o json")

// getCommand shows records.
type getCommand struct {
	platformFlags
	Output string `short:"o" enum:"table,json,record" default:"table" help:"Form of the output: table, json, or record (as it was written, to edit and apply)."`
	Kind   string `arg:"" help:"Kind: models, pipelines, backendservers, routes, clientaccounts, releases, status."`
	Name   string `arg:"" optional:"" help:"Name of one record; all when left out."`
}

// Help implements kong.HelpProvider.
func (getCommand) Help() string {
	return `Examples:

  oleandershunt get pipelines
  oleandershunt get backendserver bornova-1 -o json
  oleandershunt get backendserver bornova-1 -o record > bornova-1.json
  oleandershunt get releases`
}

// Run implements the get command.
func (c *getCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	kind, err := operator.ParseKind(c.Kind)
	if err != nil {
		return err
	}
	if kind == api.KindRelease || kind == api.KindStatus {
		if c.Output == outputRecord {
			return errNotApplied
		}
		return c.objects(ctx, client, kind)
	}
	records, err := c.records(ctx, client, kind)
	if err != nil {
		return err
	}
	if c.Output == outputRecord {
		return printRecords(os.Stdout, records)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.Name != "" {
		return c.print(records[0], func(out io.Writer) { showRecord(out, records[0], status) })
	}
	return c.print(records, func(out io.Writer) { showStored(out, records, status) })
}

// print writes a value in the form asked for.
func (c *getCommand) print(value any, table func(io.Writer)) error {
	return outputFlag{Output: c.Output}.print(value, table)
}

// printRecords writes records as apply reads them, one after another.
func printRecords(out io.Writer, records []operator.Stored) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	for _, record := range records {
		if err := encoder.Encode(record.Document); err != nil {
			return err
		}
	}
	return nil
}

func (c *getCommand) records(ctx context.Context, client *operator.Client, kind api.Kind) ([]operator.Stored, error) {
	if c.Name == "" {
		return client.List(ctx, kind)
	}
	record, err := client.Get(ctx, kind, c.Name)
	return []operator.Stored{record}, err
}

// objects shows the system's own records.
func (c *getCommand) objects(ctx context.Context, client *operator.Client, kind api.Kind) error {
	objects, err := client.Objects(ctx, kind, c.Name)
	if err != nil {
		return err
	}
	return c.print(objects, func(out io.Writer) {
		if kind == api.KindRelease {
			showReleases(out, objects)
			return
		}
		showObjects(out, objects)
	})
}

// statusCommand shows how the deployment stands.
type statusCommand struct {
	platformFlags
	outputFlag
}

// Help implements kong.HelpProvider.
func (statusCommand) Help() string {
	return `Exits 0 when all is well and 8 when something is degraded.

Example:

  oleandershunt status`
}

var errDegraded = eris.New("deployment is degraded: see the lines under degraded")

// Run implements the status command.
func (c *statusCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	overview, err := client.Overview(ctx)
	if err != nil {
		return err
	}
	if err := c.print(overview, func(out io.Writer) { showOverview(out, overview) }); err != nil {
		return err
	}
	if !overview.Healthy {
		return errDegraded
	}
	return nil
}

// explainCommand tells what was decided about a request.
type explainCommand struct {
	platformFlags
	outputFlag
	Request string `arg:"" help:"Id of the request, from the answer's Request-Id header."`
}

// Help implements kong.HelpProvider.
func (explainCommand) Help() string {
	return `The VMs keep the latest few thousand requests in memory.

Example:

  oleandershunt explain 6f0c9a52-5b5e-4d0c-8d0e-7f3d1c2b9a10`
}

// Run implements the explain command.
func (c *explainCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	explanation, err := client.Explain(ctx, c.Request)
	if err != nil {
		return err
	}
	return c.print(explanation, func(out io.Writer) { showExplanation(out, explanation) })
}

// checkCommand checks files without a platform.
type checkCommand struct {
	outputFlag
	File   []string `short:"f" placeholder:"PATH" help:"File or folder of records; - is standard input."`
	Config string   `type:"existingfile" placeholder:"FILE" help:"Settings file of a VM (TOML)."`
}

// Help implements kong.HelpProvider.
func (checkCommand) Help() string {
	return `Records are checked each by itself and all together, as if nothing else were in force.

Examples:

  oleandershunt check -f records/
  oleandershunt check --config vm-1.toml`
}

var errNothingToCheck = eris.New("nothing to check: give -f PATH, --config FILE or both")

// Run implements the check command.
func (c *checkCommand) Run() error {
	if c.Config == "" && len(c.File) == 0 {
		return errNothingToCheck
	}
	if c.Config != "" {
		if _, err := settings.LoadFile(c.Config); err != nil {
			return err
		}
	}
	if len(c.File) == 0 {
		return c.print(struct{}{}, func(out io.Writer) { fmt.Fprintln(out, "settings are valid") })
	}
	documents, err := operator.Load(c.File, stdin())
	if err != nil {
		return err
	}
	records, err := operator.Check(documents)
	if err != nil {
		return err
	}
	if err := c.print(records, func(out io.Writer) { showRecords(out, records) }); err != nil {
		return err
	}
	if heldUp(records) != nil {
		return operator.ErrInvalid
	}
	return nil
}

// versionCommand shows what this program is.
type versionCommand struct {
	outputFlag
}

// versionInfo is what the version command shows.
type versionInfo struct {
	Version string   `json:"version"`
	Go      string   `json:"go"`
	Commit  string   `json:"commit,omitempty"`
	Reads   []string `json:"reads"`
}

// Run implements the version command.
func (c *versionCommand) Run() error {
	info := versionInfo{Version: "unknown", Reads: api.Readable()}
	if build, ok := debug.ReadBuildInfo(); ok {
		info.Version = build.Main.Version
		info.Go = build.GoVersion
		for _, setting := range build.Settings {
			if setting.Key == "vcs.revision" {
				info.Commit = setting.Value
			}
		}
	}
	return c.print(info, func(out io.Writer) {
		fmt.Fprintf(out, "version  %s\ngo       %s\ncommit   %s\n", info.Version, info.Go, orNone(info.Commit))
		for _, form := range info.Reads {
			fmt.Fprintf(out, "reads    %s\n", form)
		}
	})
}
