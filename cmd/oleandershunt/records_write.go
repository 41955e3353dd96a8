package main

import (
	"context"
	"io"
	"os"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/operator"
)

// applyCommand writes records.
type applyCommand struct {
	platformFlags
	outputFlag
	waitFlag
	File   []string `short:"f" required:"" placeholder:"PATH" help:"File or folder of records (JSON, YAML, TOML); - is standard input."`
	DryRun bool     `help:"Show what would change and what the VMs would say; write nothing."`
}

// Help implements kong.HelpProvider.
func (applyCommand) Help() string {
	return `Each record is written on condition that it is as it was read: when another
operator changed it meanwhile, nothing of it is written and both changes are shown.

Examples:

  oleandershunt apply -f scoring.yaml
  oleandershunt apply -f records/ --dry-run
  cat scoring.json | oleandershunt apply -f - -o json`
}

// dryRun is what apply --dry-run shows.
type dryRun struct {
	Changes []operator.Change  `json:"changes"`
	Records []api.RecordStatus `json:"records"`
}

// Run implements the apply command.
func (c *applyCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	documents, err := operator.Load(c.File, os.Stdin)
	if err != nil {
		return err
	}
	changes, err := client.Plan(ctx, documents)
	if err != nil {
		return err
	}
	if c.DryRun {
		return rehearse(ctx, client, changes, c.outputFlag)
	}
	return showAndWrite(ctx, client, changes, c.waitFlag, c.outputFlag)
}

// showAndWrite shows what will change, unless the output is for a program, and
// writes it.
func showAndWrite(ctx context.Context, client *operator.Client, changes []operator.Change, wait waitFlag, output outputFlag) error {
	if output.Output == "table" {
		showChanges(os.Stdout, changes)
	}
	return write(ctx, client, changes, wait, output)
}

// rehearse shows changes and what the VMs would make of them.
func rehearse(ctx context.Context, client *operator.Client, changes []operator.Change, output outputFlag) error {
	records, err := client.Rehearse(ctx, changes)
	if err != nil {
		return err
	}
	err = output.print(dryRun{Changes: changes, Records: records}, func(out io.Writer) {
		showChanges(out, changes)
		showRecords(out, records)
	})
	if err != nil {
		return err
	}
	return heldUp(records)
}

func heldUp(records []api.RecordStatus) error {
	for _, record := range records {
		if record.State != api.RecordAccepted {
			return errHeldUp
		}
	}
	return nil
}

// deleteCommand deletes a record.
type deleteCommand struct {
	platformFlags
	outputFlag
	waitFlag
	Kind string `arg:"" help:"Kind of the record, for example pipeline."`
	Name string `arg:"" help:"Name of the record."`
}

// Help implements kong.HelpProvider.
func (deleteCommand) Help() string {
	return `A record that others still refer to stays in force until they are changed.

Example:

  oleandershunt delete pipeline scoring`
}

// Run implements the delete command.
func (c *deleteCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	kind, err := operator.ParseKind(c.Kind)
	if err != nil {
		return err
	}
	change, err := client.PlanDelete(ctx, kind, c.Name)
	if err != nil {
		return err
	}
	if c.Output == "table" {
		showChanges(os.Stdout, []operator.Change{change})
	}
	return write(ctx, client, []operator.Change{change}, c.waitFlag, c.outputFlag)
}

// rollbackCommand returns to the records of an older release.
type rollbackCommand struct {
	platformFlags
	outputFlag
	waitFlag
	Release uint64 `arg:"" help:"Number of the release whose records are wanted; see get releases."`
	DryRun  bool   `help:"Show what would change; write nothing."`
}

// Help implements kong.HelpProvider.
func (rollbackCommand) Help() string {
	return `The records are written again as they were, and become a new release: a release
itself never comes back.

Examples:

  oleandershunt get releases
  oleandershunt rollback 12 --dry-run
  oleandershunt rollback 12`
}

// Run implements the rollback command.
func (c *rollbackCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	changes, err := client.PlanRollback(ctx, c.Release)
	if err != nil {
		return err
	}
	if c.DryRun {
		return rehearse(ctx, client, changes, c.outputFlag)
	}
	return showAndWrite(ctx, client, changes, c.waitFlag, c.outputFlag)
}
