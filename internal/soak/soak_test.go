package soak_test

import (
	"context"
	"flag"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/soak"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed to play")
	seeds     = flag.Int("soak.seeds", 0, "how many seeds to play; 0 plays the short run only")
	vms       = flag.Int("soak.vms", 6, "VMs")
	lasts     = flag.Duration("soak.for", 20*time.Second, "how long faults last in a run")
	rejecting = flag.Bool("soak.rejecting", false, "plain servers reject requests beyond their slots")
	race      = flag.Bool("soak.race", false, "build the VMs' program with the race detector")
)

// cuttableLinks lets a run cut a VM off from all servers: the VM reads the state of its links from a
// file.
var cuttableLinks = []testutil.Defect{
	{Name: "links can be cut", File: "platform/platform.go", Old: "		HealthPath:     healthPath,\n", Bad: "		HealthPath:     healthPath,\n		DialServer:     cuttableDial(path),\n"},
	{Name: "links can be cut", File: "platform/cuttable.go", Bad: `package platform

import (
	"oleandershunt.example/oleandershunt/internal/testutil/cutlink"
	"oleandershunt.example/oleandershunt/internal/wire"
)

func cuttableDial(settings string) wire.DialFunc {
	link := cutlink.New()
	go link.Follow(settings + ".links")
	return link.Dial
}
`},
}

// build builds the program of the VMs with some defects.
func build(t *testing.T, defects ...testutil.Defect) string {
	root, err := filepath.Abs("../..")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	arguments := []string{"-overlay", testutil.Overlay(t, root, append(defects, cuttableLinks...)...)}
	if *race {
		arguments = append(arguments, "-race")
	}
	return testutil.Build(t, arguments...)
}

func play(t *testing.T, program string, seed uint64, vms int, lasts time.Duration, rejecting bool) soak.Report {
	report, err := soak.Run(context.Background(), soak.Options{Program: program, Folder: t.TempDir(), Seed: seed, VMs: vms, For: lasts, Rejecting: rejecting})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Log(strings.TrimSpace(report.Text()))
	return report
}

// TestShortSoak runs with all tests: one seed of a few seconds. Only checks that can't fail because
// the machine is slow count.
func TestShortSoak(t *testing.T) {
	const seed, vms, lasts = 5, 3, 5 * time.Second
	report := play(t, build(t), seed, vms, lasts, true)
	g := NewWithT(t)
	g.Expect(report.Untimed).To(BeEmpty())
	g.Expect(report.Served).To(BeNumerically(">", report.Requests/4), "the checks had something to check")
}

// TestSoak runs the seeds that the flags select, each as a subtest.
func TestSoak(t *testing.T) {
	if *seeds == 0 {
		t.Skip("give -soak.seeds to play seeds; docs/SOAK.md has how")
	}
	program := build(t)
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			if report := play(t, program, seed, *vms, *lasts, *rejecting); len(report.Findings) > 0 {
				t.Fail()
			}
		})
	}
}
