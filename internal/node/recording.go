package node

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/internal/trace"
)

// recordingInterval is how often the recording's file is written. What a crash
// loses is at most as long.
const recordingInterval = 10 * time.Second

// pathRecording is where the recording is read on the operations address: VMs
// have no disks, so a file on one would go with it.
const pathRecording = "GET /recording"

// Record makes the node record into a recorder that it may share with others,
// frames included. Call it before Run.
func (n *Node) Record(recorder *trace.Recorder) { n.recorder = recorder }

// record taps the core's loop, and the engines' client when frames are wanted.
func (n *Node) record(p *parts, options core.Options, engines engine.Client) engine.Client {
	s := p.settings.Recording
	shared := n.recorder != nil
	p.recorder = n.recorder
	if !shared && s.Enabled {
		p.recorder = trace.NewRecorder(s.MaxBytes)
	}
	if p.recorder == nil {
		return engines
	}
	tap := p.recorder.Tap(p.settings.VM.Name, options, p.loop.Now())
	p.loop.Observe(tap.Step)
	if shared || s.Frames {
		return trace.RecordFrames(engines, tap, p.loop.Now)
	}
	return engines
}

// addRecording serves the recording, and writes it to a file if one is set.
func addRecording(group *run.Group, p *parts) {
	if p.recorder == nil {
		return
	}
	p.operations.HandleFunc(pathRecording, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/jsonl")
		_, _ = p.recorder.WriteTo(w)
	})
	if p.settings.Recording.File == "" {
		return
	}
	telemetry.RecordingStarted.Log(p.log, "file", p.settings.Recording.File, "maxBytes", p.settings.Recording.MaxBytes)
	actors.AddContext(group, func(ctx context.Context) error {
		return keepRecording(ctx, p.log, p.recorder, p.settings.Recording.File)
	})
}

// keepRecording writes the file until ctx ends, and once more then.
func keepRecording(ctx context.Context, log logr.Logger, recorder *trace.Recorder, file string) error {
	ticker := time.NewTicker(recordingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			noteRecording(log, recorder.WriteFile(file))
			return ctx.Err()
		}
		noteRecording(log, recorder.WriteFile(file))
	}
}

func noteRecording(log logr.Logger, err error) {
	if err != nil {
		telemetry.RecordingNotWritten.Fail(log, err)
	}
}
