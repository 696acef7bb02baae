package org.ragwortbank.node.entry

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.limits.LimitMember
import java.net.ConnectException
import kotlin.time.Duration.Companion.seconds

/**
 * Determines whether the process of a member has ended.
 *
 * A process listens at its address as long as it runs, so a refused connection proves that it has ended. A suspended
 * process still accepts connections, and an unreachable host does not answer; neither proves anything.
 */
internal class MemberProbe(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val onEnded: (LimitMember) -> Unit,
) {
    /** Connects once to the address of [member] and calls back if the connection is refused. */
    fun probe(member: LimitMember) = scope.launch {
        val address = Address.parse(member.address)
        if (address != null && isRefused(address)) onEnded(member)
    }

    private suspend fun isRefused(address: Address): Boolean =
        try {
            withTimeoutOrNull(CONNECT_TIMEOUT) { aSocket(selector).tcp().connect(address.host, address.port) }?.close()
            false
        } catch (e: ConnectException) {
            e.message.orEmpty().contains(REFUSED_TEXT, ignoreCase = true)
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val REFUSED_TEXT = "refused"
        val CONNECT_TIMEOUT = 1.seconds
    }
}
