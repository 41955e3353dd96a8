package testutil

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// ReadMessage reads a message from a file with its bytes in hexadecimal.
func ReadMessage(tb testing.TB, file string, into proto.Message) {
	tb.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		tb.Fatal(err)
	}
	data, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		tb.Fatalf("%s: %v", file, err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		tb.Fatalf("%s: %v", file, err)
	}
}
