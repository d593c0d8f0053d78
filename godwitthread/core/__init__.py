"""Decision logic of the proxy; maps time and events to actions without performing I/O."""
