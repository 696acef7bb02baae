package org.ragwortbank.node.sidecar

import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.upstream.EngineClient
import org.ragwortbank.clients.upstream.ServiceClient
import org.ragwortbank.clients.upstream.UpstreamClient
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.node.settings.SidecarNodeSettings

/** Creates the client for the kind of upstream that [settings] specify. */
internal fun createUpstreamClient(settings: SidecarNodeSettings, client: HttpClient): UpstreamClient {
    val timeout = settings.platform.callTimeout
    val address = settings.upstreamAddress
    return when (settings.sidecar.kind) {
        UpstreamKind.SERVICE -> ServiceClient(client, address, timeout)
        UpstreamKind.ENGINE ->
            EngineClient(client, address, settings.weightPrefix, settings.sidecar.loadTimeout, timeout)
    }
}
