// Telemetry: writes carry a mark and keep their order, one plan has a limit, nodes tell what others used.
gateway: {name: "rack-2", listen: "127.0.0.1:7400", gateways: 4, number: 2, travel: 20ms}
list: address: "127.0.0.1:7300"

#Deferrable: {promised: 1.5s, client_timeout: 5s, payoff: 1}
products: [
	{name: "gauge-read", promised: 300ms, client_timeout: 2s, payoff: 2},
	{
		name: "record-write", promised: 500ms, client_timeout: 2.5s, payoff: 2
		effect: "fingerprinted", repeat_group: "cell", repeat_window: 2.5s
		in_order: true, writes: true
	},
	#Deferrable & {name: "history-read"},
]
plans: [
	{name: "basic", rate: 2.5/s, reserve: 1.2/s, worth: 0.7, limit: 24/s, limit_burst: 60, limit_slack: 8},
	{name: "standard", rate: 5/s, reserve: 4/s, worth: 1.2},
]
meter: {period: 1s, elsewhere: true}
