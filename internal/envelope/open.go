package envelope

import (
	"container/list"
	"crypto/cipher"
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/replay"
)

// MaxSenders is the maximum number of senders that an Opener tracks. A further sender
// evicts the sender whose first datagram arrived longest ago.
const MaxSenders = 65_536

// Opener authenticates the datagrams of all senders. It is safe for concurrent use.
//
// Lock order: Opener.mu before senderState.mu; senderState.mu is never held
// while taking Opener.mu.
type Opener struct {
	secrets atomic.Pointer[openerKeys]
	mu      sync.RWMutex
	senders map[senderKey]*senderState
	order   *list.List // values are of type senderKey, newest first
}

// openerKeys are the accepted secrets by version.
type openerKeys [MaxVersions]*[KeyLen]byte

type senderKey struct {
	version uint8
	sender  uint64
}

// senderState holds the authenticator and replay window of a sender.
type senderState struct {
	aead    cipher.AEAD
	element *list.Element
	mu      sync.Mutex
	window  replay.Window
}

// NewOpener returns an opener that accepts datagrams sealed under any of keys.
func NewOpener(keys []Key) (*Opener, error) {
	opener := &Opener{senders: make(map[senderKey]*senderState), order: list.New()}
	if err := opener.Replace(keys); err != nil {
		return nil, err
	}
	return opener, nil
}

// Replace replaces the accepted keys. On error it changes nothing.
func (o *Opener) Replace(keys []Key) error {
	var next openerKeys
	for _, key := range keys {
		if key.Version >= MaxVersions {
			return errkind.New(errkind.Invalid, "key version is above 7", "number packet keys from 0 to 7")
		}
		secret := key.Secret
		next[key.Version] = &secret
	}
	o.secrets.Store(&next)
	return nil
}

// Open authenticates datagram and returns its envelope, whose payload aliases
// datagram. The candidates are stored in buffer.
func (o *Opener) Open(datagram []byte, buffer *CandidateBuffer) (Envelope, error) {
	if len(datagram) < headerLen+tagLen || len(datagram) > MaxLen || datagram[0] != magic {
		return Envelope{}, ErrMalformed
	}
	key := senderKey{version: datagram[versionOffset], sender: binary.BigEndian.Uint64(datagram[senderOffset:])}
	if key.version >= MaxVersions {
		return Envelope{}, ErrKey
	}
	secret := o.secrets.Load()[key.version]
	if secret == nil {
		return Envelope{}, ErrKey
	}
	state, known, err := o.lookUpSender(key, secret)
	if err != nil {
		return Envelope{}, err
	}
	body := datagram[:len(datagram)-tagLen]
	sequence := binary.BigEndian.Uint64(datagram[sequenceOffset:])
	if err := authenticate(state.aead, sequence, body, datagram[len(body):]); err != nil {
		return Envelope{}, err
	}
	if !known {
		state = o.addSender(key, state)
	}
	state.mu.Lock()
	accepted := state.window.Accept(sequence)
	state.mu.Unlock()
	if !accepted {
		return Envelope{}, ErrReplayed
	}
	return parse(body, buffer[:0])
}

func authenticate(aead cipher.AEAD, sequence uint64, body, tag []byte) error {
	var nonce [nonceLen]byte
	binary.BigEndian.PutUint64(nonce[nonceLen-8:], sequence)
	if _, err := aead.Open(nil, nonce[:], tag, body); err != nil {
		return ErrTag
	}
	return nil
}

// lookUpSender returns the state of a sender. If known is false, the state is new and
// not stored yet.
func (o *Opener) lookUpSender(key senderKey, secret *[KeyLen]byte) (state *senderState, known bool, err error) {
	o.mu.RLock()
	state, known = o.senders[key]
	o.mu.RUnlock()
	if known {
		return state, true, nil
	}
	aead, err := senderAEAD(secret[:], key.sender)
	if err != nil {
		return nil, false, ErrKey
	}
	return &senderState{aead: aead}, false, nil
}

// addSender stores the state of a sender whose first datagram was authentic, and
// returns the state. If another goroutine has stored a state meanwhile, addSender
// returns that state.
func (o *Opener) addSender(key senderKey, state *senderState) *senderState {
	o.mu.Lock()
	defer o.mu.Unlock()
	if stored, ok := o.senders[key]; ok {
		return stored
	}
	if len(o.senders) >= MaxSenders {
		o.evictOldest()
	}
	state.element = o.order.PushFront(key)
	o.senders[key] = state
	return state
}

func (o *Opener) evictOldest() {
	oldest := o.order.Back()
	key, ok := o.order.Remove(oldest).(senderKey)
	if ok {
		delete(o.senders, key)
	}
}
