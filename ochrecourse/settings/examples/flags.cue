// Flag rules: changes must never run twice and keep their order; few further legs are allowed.
gateway: {name: "flags-1", listen: "127.0.0.1:7400", admin: "127.0.0.1:7401", travel: 10ms}
list: address: "127.0.0.1:7300"

products: [
	{name: "rule-fetch", promised: 250ms, client_timeout: 2s, payoff: 2},
	{
		name: "rule-edit", promised: 600ms, client_timeout: 4s, payoff: 3
		effect: "binding", in_order: true, writes: true
	},
]
plans: [
	{name: "small", rate: 3/s, worth: 0.8, limit: 20/s, limit_burst: 40, limit_slack: 8},
	{name: "large", rate: 5/s, reserve: 6/s, weight: 2, worth: 1.2},
]
budget: {floor: 10, share: 20%, window: 2s}
clients: longest_advice: 800ms
