package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/edge"
	"oleandershunt.example/oleandershunt/internal/settings"
)

const (
	// admissionTimeout bounds the fetch of a VM's admission state.
	admissionTimeout = 5 * time.Second
	// maxAdmissionBytes bounds the response; a VM's state is smaller.
	maxAdmissionBytes = 1 << 20
)

// What prevents a VM's admission state from being shown.
var (
	errNotOperations = eris.New("VM's operations address is not a URL: write http://IP:port, with the port that serves /metrics")
	errNoOperations  = eris.New("VM did not answer: check that it runs, and that the port is the one that serves /metrics")
	errNoAdmission   = eris.New("no admission state at the address: give the operations port of a VM that runs forward in this build")
)

// admissionCommand shows what decides on the admission of requests on a VM.
type admissionCommand struct {
	VM string `arg:"" placeholder:"URL" help:"URL of the VM's operations port, as http://IP:port."`
}

// Help implements kong.HelpProvider.
func (admissionCommand) Help() string {
	return `Example:

  oleandershunt admission http://10.0.0.7:9100

docs/operating/overload.md explains the fields.`
}

// Run implements the admission command.
func (c *admissionCommand) Run(ctx context.Context) error {
	if !settings.IsURL(c.VM) {
		return eris.Wrapf(errNotOperations, "%q", c.VM)
	}
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	state, err := fetchAdmission(ctx, strings.TrimSuffix(c.VM, "/")+edge.AdmissionPath)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(os.Stdout, state)
	return err
}

// fetchAdmission returns the admission state at a URL as indented JSON.
func fetchAdmission(ctx context.Context, url string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", eris.Wrap(errNotOperations, err.Error())
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", eris.Wrap(errNoOperations, err.Error())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAdmissionBytes))
	if err != nil {
		return "", eris.Wrap(errNoOperations, err.Error())
	}
	var indented bytes.Buffer
	if response.StatusCode != http.StatusOK || json.Indent(&indented, bytes.TrimSpace(body), "", "  ") != nil {
		return "", eris.Wrapf(errNoAdmission, "%s: %s", url, response.Status)
	}
	return indented.String(), nil
}
