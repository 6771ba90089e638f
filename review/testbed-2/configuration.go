package main

import (
	"encoding/json"
	"fmt"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Sizes and times of the configuration, as in the small sites.
const (
	maxConnections  = 96
	maxHeaderBytes  = 16384
	maxBodyBytes    = 4194304
	headerTimeoutMS = 3000
	idleTimeoutMS   = 15000
	engineSlots     = 64
	engineKVTokens  = 251543
	engineStride    = 3
	plainTimeoutMS  = 2500
	plainTargetMS   = 150
	streamTimeoutMS = 15000
	streamTargetMS  = 500
	// shortPauseMS is the pause of the route wording-suggest of vzorovna-sk, longPauseMS that of florist-chat of
	// phoolbari-pond-grown.
	shortPauseMS   = 150
	longPauseMS    = 400
	plainAttempts  = 2
	streamAttempts = 2
	lookupPrefix   = "/lookup/"
	orderPrefix    = "/order/"
	chatPrefix     = "/chat/"
)

// configure writes a configuration: a service for calls that may be repeated and those that may not, and one for streams that may be resumed.
//
// pause is the longest pause between two events of a stream that counts as on time. The routers use what servers say of their load only where it is longer
// than 220 ms.
func (d *deployment) configure(version ident.Version, pause platform.Milliseconds) error {
	configuration := platform.Configuration{
		Version: version,
		Routes: []platform.Route{
			{
				Name: "r-lookup", Host: hostName, PathPrefix: lookupPrefix, Kind: platform.Idempotent, Timeout: plainTimeoutMS, Objective: plainTargetMS,
				Service: plainService, MaxServers: plainAttempts,
			},
			{
				Name: "r-order", Host: hostName, PathPrefix: orderPrefix, Kind: platform.NonIdempotent, Timeout: plainTimeoutMS,
				Objective: plainTargetMS, Service: plainService, MaxServers: plainAttempts,
			},
			{
				Name: "r-chat", Host: hostName, PathPrefix: chatPrefix, Kind: platform.Streaming, Timeout: streamTimeoutMS, Objective: streamTargetMS,
				Service: engineService, MaxServers: streamAttempts, CarriesPrompts: true, Resumable: true, MaxPause: pause,
			},
		},
		Services: []platform.Service{
			{Name: plainService, HealthPath: healthPath, MaxConnections: maxConnections},
			{
				Name: engineService, HealthPath: healthPath, MaxConnections: maxConnections,
				Engine: &platform.Engine{BatchSize: engineSlots, KVCacheTokens: engineKVTokens, TokensPerEvent: engineStride},
			},
		},
		Limits: platform.Limits{
			HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: headerTimeoutMS, IdleTimeout: idleTimeoutMS,
		},
		Customers: []platform.Customer{{Name: tenantName, Keys: []string{apiKey}}},
	}
	value, err := json.Marshal(configuration)
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	d.store.Put(platform.OperatorTable, platform.ConfigurationKey, value)
	d.record.writef("configuration %d is acknowledged", version)
	return nil
}
