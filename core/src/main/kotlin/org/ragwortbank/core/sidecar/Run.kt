package org.ragwortbank.core.sidecar

import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.tick.Timestamp

/**
 * A row of a sidecar's runs table: one dispatch, waiting or running.
 *
 * @property link connection of the entry that dispatched it; null after that connection closed
 * @property isRunning whether the run was started at the upstream; otherwise it waits in the queue
 * @property chunksSent chunks of the response forwarded so far
 */
data class Run(
    val command: SidecarCommand.Dispatch,
    val link: LinkId?,
    val receivedAt: Timestamp,
    val isRunning: Boolean = false,
    val chunksSent: Long = 0,
)
