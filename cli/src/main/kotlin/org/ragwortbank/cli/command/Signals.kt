package org.ragwortbank.cli.command

import sun.misc.Signal

/** Calls [stop] on TERM and on INT, in place of ending the process at once. */
internal fun stopOnSignal(stop: () -> Unit) =
    listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { stop() } }
