package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/operator"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/settings"
)

// The exit codes of the record commands. docs/OPERATING.md lists them.
const (
	exitFailed      = 1
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitNotFound    = 6
	exitHeldUp      = 7
	exitDegraded    = 8
	// exitUsage is that of a command line that can't be parsed, too.
	exitUsage = 80
)

// recordCommands are the commands that work on records.
type recordCommands struct {
	Apply      applyCommand      `cmd:"" help:"Write records from files, folders or standard input."`
	Get        getCommand        `cmd:"" help:"Show records."`
	Delete     deleteCommand     `cmd:"" help:"Delete a record."`
	Rollback   rollbackCommand   `cmd:"" help:"Write the records of an older release again, as a new release."`
	Status     statusCommand     `cmd:"" help:"Is it healthy, what is degraded, what is done about it."`
	Explain    explainCommand    `cmd:"" help:"Tell what was decided about a request, step by step."`
	Check      checkCommand      `cmd:"" help:"Check records and settings without a platform."`
	Version    versionCommand    `cmd:"" help:"Show the version and the schema versions that it reads."`
	Completion completionCommand `cmd:"" help:"Print a script that completes command lines in a shell."`
}

// outputFlag selects the form of the output.
type outputFlag struct {
	Output string `short:"o" enum:"table,json" default:"table" help:"Form of the output: table or json."`
}

// print writes a value as JSON, or as the table that the function writes.
func (o outputFlag) print(value any, table func(io.Writer)) error {
	if o.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table(os.Stdout)
	return nil
}

// platformFlags say where the platform is.
type platformFlags struct {
	Platform string `env:"OLEANDERSHUNT_PLATFORM" placeholder:"URL" help:"Base URL of the platform's object API."`
	Settings string `env:"OLEANDERSHUNT_SETTINGS" placeholder:"FILE" help:"Settings file that names the platform, if --platform does not."`
}

// What is wrong with a command line that parses.
var (
	errNoPlatform = eris.New("platform is not known: give --platform URL, set OLEANDERSHUNT_PLATFORM, or name a settings file with --settings")
	errNotURL     = eris.New("platform is not a URL: write http://IP:port")
)

// client makes a client of the platform that the flags name.
func (f platformFlags) client() (*operator.Client, error) {
	url := f.Platform
	if url == "" && f.Settings != "" {
		s, err := settings.LoadFile(f.Settings)
		if err != nil {
			return nil, err
		}
		url = s.Platform.URL
	}
	if url == "" {
		return nil, errNoPlatform
	}
	if !settings.IsURL(url) {
		return nil, eris.Wrapf(errNotURL, "%q", url)
	}
	return operator.New(platform.NewClient(url, platform.WithVM(operatorName()))), nil
}

// operatorName is what the platform is told about the caller.
func operatorName() string {
	host, err := os.Hostname()
	if err != nil {
		host = "unknown"
	}
	return fmt.Sprintf("operator@%s", host)
}

// errHeldUp marks records that are refused, pending or not decided on in time.
var errHeldUp = eris.New("not all records are accepted: see the table")

// exitCode maps an error to the code that scripts see.
func exitCode(err error) int {
	codes := []struct {
		kind error
		code int
	}{
		{operator.ErrConflict, exitConflict},
		{operator.ErrInvalid, exitInvalid},
		{operator.ErrUnreadable, exitInvalid},
		{operator.ErrTwice, exitInvalid},
		{operator.ErrNoRecords, exitInvalid},
		{operator.ErrNoFile, exitUsage},
		{operator.ErrUnknownKind, exitUsage},
		{errNoPlatform, exitUsage},
		{errNotURL, exitUsage},
		{errNothingToCheck, exitUsage},
		{errNotApplied, exitUsage},
		{errNotOperations, exitUsage},
		{errNoAdmission, exitNotFound},
		{errNoOperations, exitUnavailable},
		{api.ErrMalformed, exitInvalid},
		{settings.ErrInvalid, exitInvalid},
		{errHeldUp, exitHeldUp},
		{errDegraded, exitDegraded},
		{platform.ErrNotFound, exitNotFound},
		{operator.ErrNoRelease, exitNotFound},
		{operator.ErrUnknownRequest, exitNotFound},
		{platform.ErrConflict, exitConflict},
		{platform.ErrUnavailable, exitUnavailable},
		{platform.ErrThrottled, exitUnavailable},
		{operator.ErrNotExplained, exitUnavailable},
	}
	for _, c := range codes {
		if errors.Is(err, c.kind) {
			return c.code
		}
	}
	return exitFailed
}

// waitFlag bounds the wait for what was written to be decided on.
type waitFlag struct {
	Wait time.Duration `default:"15s" help:"How long to wait until the records are decided on and in force; 0 does not wait."`
}

// write applies changes, waits and shows what became of them.
func write(ctx context.Context, client *operator.Client, changes []operator.Change, wait waitFlag, output outputFlag) error {
	applied, err := client.Apply(ctx, changes)
	if err != nil {
		showApplied(os.Stderr, applied)
		return err
	}
	if wait.Wait <= 0 {
		return output.print(applied, func(out io.Writer) { showApplied(out, applied) })
	}
	limited, cancel := context.WithTimeout(ctx, wait.Wait)
	defer cancel()
	verdicts, err := client.Wait(limited, applied)
	if err != nil {
		return err
	}
	if err := output.print(verdicts, func(out io.Writer) { showVerdicts(out, verdicts) }); err != nil {
		return err
	}
	if !verdicts.Accepted() {
		return errHeldUp
	}
	return nil
}
