package settings

// Recording says whether the VM keeps a recording of its core's events, from
// which an incident becomes a trace.
type Recording struct {
	// Enabled turns recording on. The recording can be read at /recording on the
	// operations address.
	Enabled bool `toml:"enabled" unit:"true or false"`
	// File is where the recording is written every 10 s and when the process ends. Empty
	// writes none.
	File string `toml:"file" unit:"file"`
	// MaxBytes bounds the recording in memory and in the file.
	MaxBytes int `toml:"max_bytes" unit:"bytes" range:"65536..268435456"`
	// Frames records the frames of answers too, without their text, so that a replay
	// checks their receipts.
	Frames bool `toml:"frames" unit:"true or false"`
}

const defaultRecordingBytes = 8 << 20

func defaultRecording() Recording { return Recording{MaxBytes: defaultRecordingBytes} }
