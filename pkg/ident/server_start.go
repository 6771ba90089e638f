package ident

// ServerStart identifies one start of a server, which may start again under its id and then knows nothing of before. It is comparable.
type ServerStart struct {
	ID Endpoint `cbor:"1,keyasint"`
	// StartedUnixMS is when the server started, in Unix milliseconds by its own clock; 0 if that is not known.
	StartedUnixMS int64 `cbor:"2,keyasint"`
}
