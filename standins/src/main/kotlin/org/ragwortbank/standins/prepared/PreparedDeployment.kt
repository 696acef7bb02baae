package org.ragwortbank.standins.prepared

import io.netty.channel.EventLoopGroup
import org.ragwortbank.clients.http.Address

/**
 * A minimal deployment of the prepared platform: a store, one model engine, one plain service and one client account.
 * The constructor starts all three servers and registers the engine and the service in the store.
 */
class PreparedDeployment(group: EventLoopGroup) {
    /** The key-value store. */
    val store = StoreStandIn(group)

    /** The model engine. */
    val engine = WorkerStandIn(group, ENGINE_ID, MODEL)

    /** The service without a model. */
    val plainService = WorkerStandIn(group, PLAIN_SERVICE_ID, model = null)

    /** Address at which the store listens. */
    val storeAddress: Address = store.start()

    /** Address at which the engine listens. */
    val engineAddress: Address = engine.start()

    /** Address at which the service without a model listens. */
    val plainServiceAddress: Address = plainService.start()

    init {
        store.put("op/config", configJson(version = 1))
        store.put("servers/$ENGINE_ID", engine.currentState.toRegistrationJson("engines", engineAddress))
        store.put(
            "servers/$PLAIN_SERVICE_ID",
            plainService.currentState.toRegistrationJson("desk", plainServiceAddress),
        )
    }

    companion object {
        /** Host name of all routes. */
        const val HOST = "site.example"

        /** API key of the client account. */
        const val API_KEY = "site-key"

        /** Name of the engine's base model. */
        const val MODEL = "base"
        private const val ENGINE_ID = "i-engine"
        private const val PLAIN_SERVICE_ID = "i-desk"

        /**
         * Returns a configuration that routes `/chat/` to the engine, `/book/` and `/look/` to the plain service, and
         * `/once/NAME/` and `/again/NAME/` to each of [otherServices], with up to [maxAttempts] attempts.
         */
        fun configJson(
            version: Long,
            apiKey: String = API_KEY,
            otherServices: List<String> = emptyList(),
            maxAttempts: Int = 1,
        ): String {
            val otherRoutes = otherServices.flatMap { name ->
                listOf(
                    """"prefix":"/once/$name/","route_type":"non_idempotent","service":"$name"""",
                    """"prefix":"/again/$name/","route_type":"idempotent","service":"$name",""" +
                        """"max_attempts":$maxAttempts""",
                )
            }
            val others = otherServices.joinToString("") { """,{"name":"$it"}""" }
            val routes = listOf(
                """"prefix":"/chat/","route_type":"streaming","service":"engines"""",
                """"prefix":"/book/","route_type":"non_idempotent","service":"desk"""",
                """"prefix":"/look/","route_type":"idempotent","service":"desk"""",
            )
            val allRoutes = (routes + otherRoutes).joinToString {
                """{"name":"r","host":"$HOST","timeout_ms":5000,"target_latency_ms":500,$it}"""
            }
            val model = """{"name":"$MODEL","weights_mb":70,"adapter_mb":1,"adapters":100}"""
            val engine = """{"models":[$model],"weights_mb":80,"adapter_slots":4}"""
            return """{"version":$version,"routes":[$allRoutes],""" +
                """"services":[{"name":"engines","engine":$engine},{"name":"desk"}$others],""" +
                """"tenants":[{"name":"club","api_keys":["$apiKey"],"rate_per_s":100000,"burst":100000,""" +
                """"plain_tokens":200}],"limits":{"idle_timeout_ms":9000}}"""
        }
    }
}
