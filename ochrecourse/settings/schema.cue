// The schema of a gateway's settings, with all defaults and bounds.

#Product: {
	name:           string
	promised:       duration & >0ms           // latency objective: a response within it earns the full payoff
	client_timeout: duration & >0ms
	payoff:         *1 | (number & >=0)
	late_share:     *0 | (number & >=0 & <=1) // of the payoff, for a response after `promised`
	effect:         *"retriable" | "fingerprinted" | "binding"
	repeat_group:   *"all" | "zone" | "cell"  // scope within which nodes detect a repeat of a fingerprinted request
	repeat_window:  *5s | (duration & >=0ms)  // for how long they detect it
	in_order:       *false | bool
	writes:         *false | bool
}

#Plan: {
	name:        string
	rate:        rate & >=0/s                 // units per second for which a volume is sized
	reserve:     *0/s | (rate & >=0/s)
	weight:      *1 | (number & >0)
	worth:       *1 | (number & >=0)          // factor on the payoff
	limit:       *0/s | (rate & >=0/s)        // 0: none
	limit_burst: *0 | (number & >=0)          // units
	limit_slack: *0 | (number & >=0)          // units
}

#Peer: {
	name:         string
	address:      string                      // HOST:PORT; a peer that connects is identified by HOST
	local_as:     int & >=1 & <=4294967295
	remote_as:    int & >=1 & <=4294967295
	hold_time:    *9s | (duration & >=0ms)    // 0s: no keepalives; else whole seconds, at least 3s
	retry:        *5s | (duration & >=100ms) // timeout of a dial, after which it is retried
	idle_wait:    *1s | (duration & >=100ms)  // after a failure; doubled each time, up to 64 times this
	dials:        *true | bool                // false: waits for the peer to connect
	families:     *["ipv4", "ipv6"] | [...("ipv4" | "ipv6")]
	ttl_security: *false | bool
}

#Address: {
	network:           string
	next_hop:          string
	med?:              int & >=0 & <=4294967295
	last_med:          *1000 | (int & >=0 & <=4294967295) // while announced as the last choice
	local_preference:  *100 | (int & >=0 & <=4294967295)  // within one AS
	communities:       *[] | [...string]                  // "64512:7"
	large_communities: *[] | [...string]                  // "64512:7:9"
	list_needed:       *true | bool                       // an outdated endpoint list makes it the last choice
}

#Request: {
	method:  "GET" | "PUT"
	most:    *-1 | (int & >=-1)               // largest matching size in bytes; -1: any size
	product: string
}

#Volume: {
	name:     *"" | string                    // first segment of the path; empty: all others
	plan:     string
	gateways: *1 | (int & >=1)
	quota:    *0B | (size & >=0B)             // total size of its files at this gateway; 0B: no limit
}

#Other: {
	name:    string
	address: *"" | string                     // HOST:PORT as seen from this gateway; empty: from the registry
}

#Rule: {
	name:       string
	all?:       bool                          // scope of the purge: one of all, plan, volume
	plan?:      string
	volume?:    int & >=0
	at:         string                        // local time of the site, HH:MM or HH:MM:SS
	weekdays:   *["mon", "tue", "wed", "thu", "fri", "sat", "sun"] | [...("mon" | "tue" | "wed" | "thu" | "fri" | "sat" | "sun")]
	holidays:   *"usual" | string             // "usual": as on other days; "none": no purge; or another time
	exceptions: *[] | [...{
		date: string                          // YYYY-MM-DD
		at:   string                          // a time or "none"
	}]
}

#Site: {
	name:     string
	edges:    [...string]                     // names of its gateways; the same list at each of them
	zone:     string                          // time zone, as in "Europe/Berlin"
	country:  *"" | string                    // whose public holidays apply, as in "DE"; empty: none
	region:   *"" | string                    // of that country, as in "BY"
	holidays: *[] | [...string]               // additional ones, YYYY-MM-DD
	edition:  *1 | (int & >=1)                // to be incremented with each change of this site
	rules:    [...#Rule]
}

gateway: {
	name:     string
	listen:   *"127.0.0.1:0" | string
	admin:    *"" | string                    // address of health and metrics; empty: none
	zone:     *0 | (int & >=0)
	gateways: *1 | (int & >=1)                // number of gateways of this tier, this one included
	number:   *0 | (int & >=0)                // index of this gateway among them
	travel:   *20ms | (duration & >=0ms & <=1s) // reserved for a response's way to its client
	state:    *"" | string                    // directory of persistent state; empty: none is kept
	seed:     *0 | (int & >=0)                // of random numbers; 0: chosen at each start
	control:  *"" | string                    // path of the control socket; empty: none
}

list: address: *"" | string                  // of a list server; empty if there is a registry

registry?: {
	servers: [...string]                      // HOST:PORT of each
	prefix:  *"/ochrecourse/nodes/" | string
	own:     *"/ochrecourse/gateways/" | string // prefix of this gateway's own entry; empty: it does not register
	lease:   *10s | (duration & >=3s)         // after which that entry expires
}

sites?: [...#Site]                            // buildings with closing times; a gateway belongs to at most one

products: [...#Product]
plans: [...#Plan]
zones: *["here"] | [...string]

units: {
	most:        *8 | (number & >=1)          // of the largest request
	usual:       *2 | (number & >0)
	share_worth: *0.3 | (number & >=0 & <=1)
	spare_worth: *0.1 | (number & >=0 & <=1)
}

rules: {
	drain_grace:   *2s | (duration & >=0ms)
	cold_capacity: *0.25 | (number & >0 & <=1)
	cold_time:     *15s | (duration & >=0ms)
	cold_multiple: *3 | (number & >=1)
	cold_fall:     *1.5s | (duration & >=0ms)
	cold_units:    *8 | (number & >=0)
	order_rest:    *100ms | (duration & >=0ms)
}

budget?: {
	floor:  number & >=0
	share:  number & >=0 & <=1
	window: duration & >0ms
}

legs: {
	most:          *3 | (int & >=1 & <=16)
	second_copies: *false | bool
}

clients: {
	advice:         *true | bool
	longest_advice: *1s | (duration & >=0ms)
	open_jobs:      *20000 | (int & >=1)
	connections:    *20000 | (int & >=1)
}

connections: {
	dial_timeout: *250ms | (duration & >=10ms & <=10s)
	idle:         *15s | (duration & >=100ms)
	legs:         *32 | (int & >=1 & <=1024)
	most:         *4 | (int & >=1 & <=64)
	dials:        *16 | (int & >=1 & <=1024)
}

webdav?: {
	listen:   *"127.0.0.1:0" | string
	unit:     *64KiB | (size & >0B)           // a request counts one unit for each started one
	products: [...#Request]                   // the first match applies
	volumes:  [...#Volume]                    // the first match applies
	limits: {
		connections: *20000 | (int & >=1)
		header:      *16KiB | (size & >=1KiB)    // request line and headers together
		headers:     *100 | (int & >=1)
		body:        *4GiB | (size & >=1KiB)     // of a PUT
		rate:        *200/s | (rate & >0/s)      // requests per connection
		burst:       *400 | (number & >=1)
		idle:        *1min | (duration & >0ms)   // between requests
		head:        *10s | (duration & >0ms)    // for receiving all headers of a request
		slowest:     *1KiB | (size & >=1B)       // of a body, per second, after `grace`
		grace:       *10s | (duration & >0ms)
	}
}

bgp?: {
	identifier: string                        // an IPv4 address, unique to this speaker
	listen:     *"" | string                  // for peers that connect; empty: none may
	peers:      [...#Peer]
	addresses:  [...#Address]
	fitness: {
		loop_late:    *500ms | (duration & >0ms)
		list_age:     *1min | (duration & >=0ms) // 0s: any age is accepted
		nodes_share:  *0.5 | (number & >=0 & <=1)
		failed_share: *0.5 | (number & >=0 & <=1)
		room:         *0.95 | (number & >0 & <=1)
		lasts:        *2s | (duration & >=0ms)
		rest:         *3s | (duration & >=0ms)
		longest_rest: *5min | (duration & >=0ms)
		ease:         *10min | (duration & >0ms)
	}
	drain: {
		last_choice: *5s | (duration & >=0ms) // time announced as the last choice before withdrawal
		withdrawn:   *2s | (duration & >=0ms) // time for the peers to react to it
		unread:      *10s | (duration & >=0ms) // maximum wait for a peer that does not read
	}
}

fleet?: {
	name:        string                       // of the whole fleet; peers that state another name are rejected
	listen:      *"127.0.0.1:0" | string      // address for the other gateways
	peers:       *[] | [...#Other]            // the other gateways of the fleet
	beat:        *250ms | (duration & >=10ms & <=10s)   // interval of this gateway's heartbeats
	quiet:       *2s | (duration & >=20ms & <=1min)     // without a heartbeat: unreachable; at least two beats
	let_go:      *10min | (duration & >=1s)   // unreachable for so long: the log proceeds without it
	clock_bound: *500ms | (duration & >=0ms & <=1min)   // maximum difference between wall clocks of the fleet
	ahead:       *1h | (duration & >=1s)      // a peer whose clock is further ahead is rejected
	newest_form: *2 | (int & >=1 & <=2)       // format version to send and store; 1: for older programs
	shift:       *0ms | duration              // added to the wall clock, to test a wrong clock
	log: {
		entry:    *64KiB | (size & >=256B & <=128KiB)   // maximum size of the body of an entry
		channel:  *16MiB | (size & >=4KiB)     // total size of the bodies of a channel
		channels: *1024 | (int & >=2 & <=65536)
		flight:   *256 | (int & >=1 & <=4096)  // entries in flight to one peer
		catch_up: *1MiB | (size & >=16KiB)     // per second, to all peers together, of entries they
		                                       // lack: a peer merges this in a fifth of a core
	}
	copies?: {                                // if present, reads are served from copies once these are ready
		products: [...string]                 // their reads may miss a recent write through another gateway
		bytes:    *256MiB | (size & >=1KiB)   // total size of all copies
		largest:  *1MiB | (size & >=1B)       // of one copy
	}
	purges?: {                                // if present, copies are purged when their site closes
		notice: *10s | (duration & >=100ms & <=10min) // from publishing an edition until it applies; also the tolerated silence
		days:   *60 | (int & >=2 & <=400)     // that an edition covers; it is renewed after half of them
	}
	zones?: {                                 // if present, the fleet evacuates failing zones and returns to them
		window:        *2s | (duration & >=100ms)      // over which attempts are counted
		life:          *500ms | (duration & >0ms)      // for which a response of a node shows that it is up
		slow:          *4 | (number & >1)              // factor over the usual response time that makes a response slow
		doubt:         *200ms | (duration & >=0ms)     // that most of a zone must fail for it to be suspected
		lasts:         *750ms | (duration & >=0ms)     // that a zone must be silent to be evacuated
		silence:       *1.5s | (duration & >=0ms)      // the same, if its nodes neither refuse connections nor respond
		sole:          *5s | (duration & >=0ms)        // the same, if only gateways of one zone report it
		clear:         *2s | (duration & >=0ms)        // without a failure, after which a suspicion ends
		longest_clear: *1min | (duration & >=0ms)
		turn:          *500ms | (duration & >0ms)      // until the next gateway takes over a due decision
		rest:          *5s | (duration & >=0ms)        // that a zone stays evacuated; doubled with each relapse
		longest_rest:  *5min | (duration & >=0ms)
		ease:          *1min | (duration & >0ms)       // without a relapse, after which the next `rest` is halved
		well:          *500ms | (duration & >=0ms)        // that probes must succeed before a return
		first:         *0.125 | (number & >0 & <=1)    // of the full rate, the minimum at which a return starts
		step:          *500ms | (duration & >0ms)         // of timely responses, after which the rate doubles
		hold:          *1s | (duration & >=0ms)        // at the full rate, after which a return is complete
		failed:        *0.25 | (number & >=0 & <=1)    // of a returning zone's attempts: above, its rate is halved
		probes:        *2/s | (rate & >0/s)            // units at each node of an evacuated zone, from all gateways
		cold?:         rate & >0/s                     // units at a node that just started, from all gateways;
		                                               // default: `rules.cold_units` per `rules.cold_fall`
		full:          *40/s | (rate & >0/s)           // units at a node: the full rate of a return
		remain:        *0.3 | (number & >=0 & <=1)     // of all ready nodes that must be in other zones
		lend:          *10s | (duration & >0ms)        // for which a share of a quota is lent
	}
}

meter: {
	period:    *0ms | (duration & >=0ms)
	elsewhere: *false | bool
}

log: {
	level:  *"info" | "debug" | "warning"
	form:   *"auto" | "json" | "console"
	sample: *200/s | (rate & >0/s)            // lines of requests without errors
}

tick: *2 | (number & >0) // ms; resolution of scheduled times
