package claim

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// Event is an input of a Shard's state machine.
type Event interface{ isEvent() }

// Action is an output of a Shard's state machine, to be carried out by its VM.
type Action interface{ isAction() }

// Result is the outcome of a write.
type Result string

// The results of a write.
const (
	// ResultDone: the write took effect.
	ResultDone Result = "done"
	// ResultConflict: another write changed the object first.
	ResultConflict Result = "conflict"
	// ResultUnknown: the write may have taken effect, or may still do so.
	ResultUnknown Result = "unknown"
	// ResultRefused: the write did not take effect and never will.
	ResultRefused Result = "refused"
)

// Requested asks for the only permission to dispatch a key's request. Decided answers it.
type Requested struct {
	// Call is the caller's number for the answer.
	Call uint64
	// Op is a claim.
	Op Op
}

// Peek asks whether a key is known, without claiming it. Decided answers it, with
// any verdict except core.VerdictGranted.
type Peek struct {
	// Call is the caller's number for the answer.
	Call uint64
	// Op is the claim that the request would make.
	Op Op
}

// Settled reports how a claimed request ended. Op is of any kind except OpClaim.
type Settled struct{ Op Op }

// Tick reports only that time has passed.
type Tick struct{}

// HeadRead is the answer to ReadHead.
type HeadRead struct {
	// Sent is when the read was sent.
	Sent Time
	// Failed is set when the platform did not answer.
	Failed bool
	// Version is the object's version. 0 means that there is no object.
	Version uint64
	Head    Head
}

// HeadWritten is the answer to WriteHead.
type HeadWritten struct {
	// Number is the Number of the WriteHead.
	Number uint64
	Result Result
	// Version is the object's version when the result is ResultDone.
	Version uint64
}

// PagesRead is the answer to ReadPages.
type PagesRead struct {
	// Failed is set when at least one page could not be read.
	Failed bool
	Pages  map[string]Page
}

// PageWritten is the answer to WritePage.
type PageWritten struct {
	Ref    PageRef
	Result Result
}

// Appended is a standby's answer to SendAppend.
type Appended struct {
	Standby lease.VM
	Epoch   uint64
	// Refused is set when the standby did not accept the ops.
	Refused bool
	// End is the index after the last op that the standby holds without a gap.
	End uint64
}

// Append is an owner's request to a standby to hold ops and to include them in
// the journal if it takes over. AppendReply answers it.
type Append struct {
	Call  uint64
	Epoch uint64
	Owner lease.VM
	// Standby is the process that the owner addresses; a restarted one must refuse.
	Standby lease.VM
	// Confirmed is the index after the last op known to be stored in the platform.
	Confirmed uint64
	// FirstIndex is the index of the first op of Ops.
	FirstIndex uint64
	Ops        Journal
}

// LiveVMs lists the VMs that are alive and not shutting down, this one included.
type LiveVMs struct{ VMs []lease.VM }

// Release asks the owner to give up the shard at once, because its VM is shutting down.
type Release struct{}

// Decided answers Requested and Peek.
type Decided struct {
	Call    uint64
	Verdict core.Verdict
	// ValidFor is how long a grant may be used, counted from the time of the call.
	ValidFor time.Duration
}

// ReadHead asks for a read of the shard's head.
type ReadHead struct{}

// WriteHead asks for a conditional write of the shard's head.
type WriteHead struct {
	Number uint64
	// IfVersion is the version that the object must have. 0 means that it must not exist.
	IfVersion uint64
	Head      Head
}

// ReadPages asks for a read of sealed pages.
type ReadPages struct{ Names []string }

// WritePage asks for the creation of a page.
type WritePage struct {
	Ref  PageRef
	Page Page
}

// DeletePage asks for the deletion of a page that is past its retention.
type DeletePage struct{ Name string }

// SendAppend asks for an Append to be sent to a standby.
type SendAppend struct{ Append Append }

// AppendReply answers Append.
type AppendReply struct {
	Call    uint64
	Refused bool
	End     uint64
}

// Notice is a state change that is reported to operators.
type Notice struct {
	Kind  NoticeKind
	Epoch uint64
	// Holder is the name of the shard's owner as far as this VM knows.
	Holder string
}

// NoticeKind is the kind of a Notice.
type NoticeKind string

// The kinds of Notice.
const (
	NoticeOwned       NoticeKind = "owned"
	NoticeFenced      NoticeKind = "fenced"
	NoticeReleased    NoticeKind = "released"
	NoticeOnStandbys  NoticeKind = "on_standbys"
	NoticeJournalled  NoticeKind = "journalled"
	NoticeImplausible NoticeKind = "implausible"
	NoticeGap         NoticeKind = "gap"
)

func (Requested) isEvent()   {}
func (Peek) isEvent()        {}
func (Settled) isEvent()     {}
func (Tick) isEvent()        {}
func (HeadRead) isEvent()    {}
func (HeadWritten) isEvent() {}
func (PagesRead) isEvent()   {}
func (PageWritten) isEvent() {}
func (Appended) isEvent()    {}
func (Append) isEvent()      {}
func (LiveVMs) isEvent()     {}
func (Release) isEvent()     {}

func (Decided) isAction()     {}
func (ReadHead) isAction()    {}
func (WriteHead) isAction()   {}
func (ReadPages) isAction()   {}
func (WritePage) isAction()   {}
func (DeletePage) isAction()  {}
func (SendAppend) isAction()  {}
func (AppendReply) isAction() {}
func (Notice) isAction()      {}
